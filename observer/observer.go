// Package observer knows the instances of the database groups: which of them
// leads, how far each log has come, and how soon each answers. From that it
// chooses where a statement runs.
//
// A primary counts as confirmed as of the time at which a replica was asked
// that still receives from it. A promotion stops the replicas first, so no
// other primary can have acknowledged a commit before that time.
package observer

import (
	"slices"
	"sync"
	"time"

	"github.com/marigoldgauge/marigoldgauge/phraser"
	"github.com/marigoldgauge/marigoldgauge/tracker"
)

// Distance returns the answer time to assume of an availability zone before anything was measured.
type Distance func(availabilityZone string) time.Duration

// Observer knows the instances of all groups. It is safe for concurrent use.
type Observer struct {
	distance Distance

	mu     sync.Mutex
	groups map[string]*groupState
}

// New returns an Observer that knows nothing.
func New(d Distance) *Observer {
	return &Observer{distance: d, groups: map[string]*groupState{}}
}

// SetInstances takes the platform's list and returns the instances that came,
// went, and see themselves in another role than before.
func (o *Observer) SetInstances(list []Instance) (came, went, turned []Instance) {
	o.mu.Lock()
	defer o.mu.Unlock()
	listed := map[string]bool{}
	for _, i := range list {
		listed[i.ID] = true
		g := o.group(i.Group)
		s := g.instances[i.ID]
		if s != nil && (s.Address != i.Address || !s.Started.Equal(i.Started)) {
			went = append(went, s.Instance)
			s = nil
		}
		if s == nil {
			base := o.distance(i.AvailabilityZone)
			g.instances[i.ID] = &instanceState{Instance: i, base: base, latency: base}
			came = append(came, i)
			continue
		}
		if s.Leads != i.Leads || s.Leaving != i.Leaving {
			turned = append(turned, i)
		}
		s.Instance = i
	}
	for _, g := range o.groups {
		for id, s := range g.instances {
			if !listed[id] {
				delete(g.instances, id)
				went = append(went, s.Instance)
			}
		}
	}
	return came, went, turned
}

// Instances returns the instances of a group in ascending order of id.
func (o *Observer) Instances(group string) []Instance {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []Instance
	for _, s := range o.group(group).instances {
		out = append(out, s.Instance)
	}
	slices.SortFunc(out, func(a, b Instance) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return out
}

// Groups returns the names of the groups that have instances.
func (o *Observer) Groups() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []string
	for name, g := range o.groups {
		if len(g.instances) > 0 {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// Primary returns the primary of a group and its term; ok is false while it is not known.
func (o *Observer) Primary(group string) (id string, term uint64, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	g := o.group(group)
	return g.primary, g.term, g.primary != "" && !g.deposed
}

// Since returns when the primary of a group was learnt.
func (o *Observer) Since(group string) time.Time {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.group(group).taken
}

// Confirmed returns the last time as of which the primary is known to lead alone.
func (o *Observer) Confirmed(group string) time.Time {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.group(group).confirmed
}

// Watermark returns a position that covers every commit acknowledged before
// the time at, as early a one as possible.
func (o *Observer) Watermark(group string, at time.Time) (p tracker.Position, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	g := o.group(group)
	i, _ := slices.BinarySearchFunc(g.samples, at, func(s sample, at time.Time) int { return s.at.Compare(at) })
	if i == len(g.samples) || g.samples[i].at.After(g.confirmed) {
		return tracker.Position{}, false
	}
	return g.samples[i].position, true
}

// Choose returns the instance that is likely to serve a need the soonest.
func (o *Observer) Choose(now time.Time, n Need) (Instance, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	g := o.group(n.Group)
	if n.Lead {
		s := g.instances[g.primary]
		if s == nil || g.deposed || slices.Contains(n.Tried, g.primary) {
			return Instance{}, false
		}
		return s.Instance, true
	}
	var best *instanceState
	var least time.Duration
	for _, s := range g.instances {
		if slices.Contains(n.Tried, s.ID) || (s.Leaving && s.ID != g.primary) {
			continue
		}
		cost := s.expected(now)
		if now.Before(s.suspectUntil) {
			cost += suspectPenalty
		}
		if now.Before(s.laggingUntil) && !n.After.Before(s.lacked) {
			cost += lagPenalty
		}
		if s.ID == g.primary {
			cost += cost / primaryReserve
		}
		if best == nil || cost < least || (cost == least && s.ID < best.ID) {
			best, least = s, cost
		}
	}
	if best == nil {
		return Instance{}, false
	}
	return best.Instance, true
}

const (
	// suspectPenalty makes an instance that failed a moment ago the last resort.
	suspectPenalty = 10 * time.Second
	// lagPenalty makes a replica that lags the last resort but for those that failed.
	lagPenalty = 5 * time.Second
	// primaryReserve is the part of its answer time by which a read avoids the
	// primary, whose slots writes need.
	primaryReserve = 4
)

// group returns the state of a group. The lock is held.
func (o *Observer) group(name string) *groupState {
	g := o.groups[name]
	if g == nil {
		g = &groupState{instances: map[string]*instanceState{}}
		o.groups[name] = g
	}
	return g
}

// Begin notes that a statement is on its way to an instance.
func (o *Observer) Begin(i Instance) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if s := o.group(i.Group).instances[i.ID]; s != nil {
		s.underWay++
	}
}

// End notes the answer to a statement that was sent at a time.
func (o *Observer) End(now, sent time.Time, i Instance, a phraser.Answer) {
	o.mu.Lock()
	defer o.mu.Unlock()
	g := o.group(i.Group)
	s := g.instances[i.ID]
	if s == nil {
		return
	}
	s.underWay--
	s.failures, s.suspectUntil, s.answered = 0, time.Time{}, now
	s.seen = s.seen.Max(a.Position)
	switch a.Result {
	case phraser.Done:
		s.latency += time.Duration(latencyWeight * float64(now.Sub(sent)-s.latency))
		s.measured = now
	case phraser.Lagging:
		s.laggingUntil = now.Add(laggingFor)
		s.lacked = a.Position
	case phraser.ReadOnly:
		if i.ID == g.primary {
			g.deposed = true
		}
	case phraser.Busy:
		s.suspectUntil = now.Add(busyFor)
	}
	if i.ID == g.primary && a.Position != (tracker.Position{}) {
		g.unreached = time.Time{}
		g.addSample(sent, a.Position)
	}
}

// busyFor is how long an instance without room is avoided: a few short statements.
const busyFor = 50 * time.Millisecond

// Committed notes that the primary acknowledged a commit that was sent at a
// time. With replicas that take part in commits this confirms the primary.
func (o *Observer) Committed(sent time.Time, i Instance) {
	o.mu.Lock()
	defer o.mu.Unlock()
	g := o.group(i.Group)
	if i.ID != g.primary || g.deposed {
		return
	}
	g.stuck, g.stuckSince = 0, time.Time{}
	if sent.After(g.confirmed) {
		g.confirmed = sent
	}
}

// Stuck notes that the primary did not acknowledge a commit that was sent at a time.
func (o *Observer) Stuck(sent time.Time, i Instance) {
	o.mu.Lock()
	defer o.mu.Unlock()
	g := o.group(i.Group)
	if i.ID != g.primary {
		return
	}
	if g.stuck == 0 {
		g.stuckSince = sent
	}
	g.stuck++
}

// Abandon takes back Begin for a statement that was not sent, or whose answer tells nothing.
func (o *Observer) Abandon(i Instance) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if s := o.group(i.Group).instances[i.ID]; s != nil {
		s.underWay--
	}
}

// Answered notes the answer to a question of the product that was sent at a
// time. Its answer time says nothing about statements.
func (o *Observer) Answered(sent time.Time, i Instance, a phraser.Answer) {
	o.mu.Lock()
	defer o.mu.Unlock()
	g := o.group(i.Group)
	s := g.instances[i.ID]
	if s == nil {
		return
	}
	s.underWay--
	s.failures, s.suspectUntil = 0, time.Time{}
	s.answered = sent
	s.seen = s.seen.Max(a.Position)
	if i.ID == g.primary && a.Position != (tracker.Position{}) {
		g.unreached = time.Time{}
		g.addSample(sent, a.Position)
	}
}

// NeedsSample reports whether the primary's position was last seen too long ago
// to serve as a watermark much longer.
func (o *Observer) NeedsSample(group string, now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	g := o.group(group)
	return len(g.samples) == 0 || now.Sub(g.samples[len(g.samples)-1].at) > sampleAge
}

// sampleAge is the age at which a primary is asked for its position.
const sampleAge = 200 * time.Millisecond

// Fail notes that an instance could not be reached or did not answer.
func (o *Observer) Fail(now time.Time, i Instance) {
	o.mu.Lock()
	defer o.mu.Unlock()
	g := o.group(i.Group)
	s := g.instances[i.ID]
	if s == nil {
		return
	}
	s.underWay--
	if s.failures == 0 {
		s.failingSince = now
	}
	s.suspectUntil = now.Add(min(suspectFirst<<min(s.failures, 8), suspectMost))
	s.failures++
	if i.ID == g.primary && g.unreached.IsZero() {
		g.unreached = now
	}
}

// ObserveStatus takes what an instance said when it was asked at a time, and
// reports whether the primary of its group changed.
func (o *Observer) ObserveStatus(now, asked time.Time, i Instance, st phraser.InstanceStatus) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	g := o.group(i.Group)
	if s := g.instances[i.ID]; s != nil {
		s.seen = s.seen.Max(st.Received)
	}
	switch {
	case st.Leads && st.Term > g.term:
		g.take(now, i.ID, st.Term)
		g.addSample(asked, st.Received)
		return true
	case st.Leads && st.Term == g.term && i.ID == g.primary:
		g.deposed = g.highest > g.term
		g.unreached = time.Time{}
		g.addSample(asked, st.Received)
	case st.Term > g.term:
		g.outrun(st.Term)
	case i.ID == g.primary && !st.Leads:
		g.deposed = true
	case !st.Leads && st.Term == g.term && st.PausedFor == 0 && !g.deposed && asked.After(g.confirmed):
		g.confirmed = asked
	}
	return false
}

// Lead takes another VM's word that an instance leads a term, and reports whether that was news.
func (o *Observer) Lead(now time.Time, group, id string, term uint64) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	g := o.group(group)
	if term <= g.term {
		return false
	}
	g.take(now, id, term)
	return true
}

// Vouch takes the word of the fleet's record as of a time: which term of a group
// is superseded, and which is open for writes. It extends the confirmation of
// the primary until a time.
func (o *Observer) Vouch(now, asOf, until time.Time, group string, superseded, opened uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	g := o.group(group)
	if g.term <= superseded {
		if g.confirmed.After(now) {
			g.confirmed = now
		}
		return
	}
	if !g.deposed && !asOf.Before(g.taken) && until.After(g.confirmed) {
		g.confirmed = until
	}
	if opened >= g.term || (superseded == 0 && !asOf.Before(g.taken)) {
		g.opened = true
	}
}

// Revoke ends what was vouched for the primary of a superseded term.
func (o *Observer) Revoke(now time.Time, group string, superseded uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if g := o.group(group); g.term <= superseded && g.confirmed.After(now) {
		g.confirmed = now
	}
}

// Open notes that the primary of a term may take writes.
func (o *Observer) Open(group string, term uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if g := o.group(group); g.term == term {
		g.opened = true
	}
}

// Opened reports whether the primary of a group may take writes: no VM can take
// an earlier one for the present one any more.
func (o *Observer) Opened(now time.Time, group string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	g := o.group(group)
	return g.opened || now.Sub(g.taken) > OpenAfter
}

const (
	// ViewLease is how long a VM may take a primary for the present one after
	// the time as of which the fleet's record named no successor: five times
	// the interval at which the record is read.
	ViewLease = 2 * time.Second
	// OpenAfter is the time after which nobody can hold a view lease on an
	// earlier primary; the margin covers clocks of uneven speed.
	OpenAfter = ViewLease + 100*time.Millisecond
)

// Unreached returns since when the primary of a group does not serve this VM:
// it does not answer, or acknowledges no commit. It is zero while it serves.
func (o *Observer) Unreached(group string) time.Time {
	o.mu.Lock()
	defer o.mu.Unlock()
	g := o.group(group)
	if g.stuck >= stuckCommits {
		return g.stuckSince
	}
	return g.unreached
}

// stuckCommits is the number of commits in a row without an acknowledgement
// after which a primary counts as not serving; one may be a broken connection.
const stuckCommits = 2

// PrimaryAnswered returns when the primary of a group last answered this VM.
func (o *Observer) PrimaryAnswered(group string) time.Time {
	o.mu.Lock()
	defer o.mu.Unlock()
	g := o.group(group)
	if s := g.instances[g.primary]; s != nil {
		return s.answered
	}
	return time.Time{}
}
