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
	"strings"
	"sync"
	"time"

	"github.com/marigoldgauge/marigoldgauge/phraser"
)

// Distance returns the answer time to assume of an availability zone before anything was measured.
type Distance func(availabilityZone string) time.Duration

// Observer knows the instances of all groups. It is safe for concurrent use.
type Observer struct {
	distance Distance
	leaving  time.Duration

	mu     sync.Mutex
	groups map[string]*groupState
}

// New returns an Observer that knows nothing. Instances that announce their end
// take new work for a time that is called leaving.
func New(d Distance, leaving time.Duration) *Observer {
	return &Observer{distance: d, leaving: leaving, groups: map[string]*groupState{}}
}

// leavingMargin is left of the time in which a leaving instance takes new work,
// for the way of its announcement to this VM and of a statement to the instance.
const leavingMargin = 2 * time.Second

// SetInstances takes the platform's list at now and returns the instances that came,
// went, and see themselves in another role than before.
func (o *Observer) SetInstances(now time.Time, list []Instance) (came, went, turned []Instance) {
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
			s = &instanceState{Instance: i, base: base, latency: base}
			s.noteLeaving(now)
			g.instances[i.ID] = s
			came = append(came, i)
			continue
		}
		if s.Leads != i.Leads || s.Leaving != i.Leaving {
			turned = append(turned, i)
		}
		s.Instance = i
		s.noteLeaving(now)
	}
	for _, g := range o.groups {
		for id, s := range g.instances {
			if !listed[id] {
				delete(g.instances, id)
				went = append(went, s.Instance)
			}
		}
		g.notify()
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
	slices.SortFunc(out, func(a, b Instance) int { return strings.Compare(a.ID, b.ID) })
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

// Choose returns the instance that is likely to serve a need the soonest.
func (o *Observer) Choose(now time.Time, n Need) (Instance, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	g := o.group(n.Group)
	if n.Lead {
		s := g.instances[g.primary]
		if s == nil || g.deposed || o.left(now, s) || slices.Contains(n.Tried, g.primary) {
			return Instance{}, false
		}
		return s.Instance, true
	}
	var best *instanceState
	var least time.Duration
	for _, s := range g.instances {
		if slices.Contains(n.Tried, s.ID) || (s.Leaving && s.ID != g.primary) || o.left(now, s) {
			continue
		}
		cost := s.expected(now)
		if s.suspect(now) {
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

// left reports whether an instance that announced its end takes no new work any
// more, be it the primary.
func (o *Observer) left(now time.Time, s *instanceState) bool {
	return s.Leaving && now.Sub(s.leavingSince) >= o.leaving-leavingMargin
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

// ended takes a statement off those under way and returns the state of its group
// and of its instance, which is nil once the instance is gone. The lock is held.
func (o *Observer) ended(i Instance) (*groupState, *instanceState) {
	g := o.group(i.Group)
	s := g.instances[i.ID]
	if s != nil {
		s.underWay--
	}
	return g, s
}

// End notes the answer to a statement that was sent at a time.
func (o *Observer) End(now, sent time.Time, i Instance, a phraser.Answer) {
	o.mu.Lock()
	defer o.mu.Unlock()
	g, s := o.ended(i)
	if s == nil {
		return
	}
	g.heard(s, now, sent, a.Position)
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
}

// busyFor is how long an instance without room is avoided: a few short statements.
const busyFor = 50 * time.Millisecond

// Abandon takes back Begin for a statement that was not sent, or whose answer tells nothing.
func (o *Observer) Abandon(i Instance) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ended(i)
}

// Answered notes the answer to a question of the product that was sent at a
// time. Its answer time says nothing about statements.
func (o *Observer) Answered(sent time.Time, i Instance, a phraser.Answer) {
	o.mu.Lock()
	defer o.mu.Unlock()
	g, s := o.ended(i)
	if s == nil {
		return
	}
	g.heard(s, sent, sent, a.Position)
}

// Fail notes that an instance could not be reached or did not answer.
func (o *Observer) Fail(now time.Time, i Instance) {
	o.Silent(now, now, i)
}

// Silent notes that an instance has not answered since a time, unless it has
// answered others of this VM meanwhile.
func (o *Observer) Silent(now, since time.Time, i Instance) {
	o.mu.Lock()
	defer o.mu.Unlock()
	g, s := o.ended(i)
	if s == nil {
		return
	}
	if s.answered.After(since) {
		return
	}
	s.suspectUntil = now.Add(min(suspectFirst<<min(s.failures, 8), suspectMost))
	s.failures++
	if i.ID == g.primary && g.unreached.IsZero() {
		g.unreached = since
	}
}
