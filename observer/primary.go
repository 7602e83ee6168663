package observer

import (
	"slices"
	"time"

	"github.com/marigoldgauge/marigoldgauge/phraser"
	"github.com/marigoldgauge/marigoldgauge/tracker"
)

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
	g.notify()
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

// Sampled returns the last position at which this VM knows the primary of a
// group, and the time before which all that it covers was acknowledged.
func (o *Observer) Sampled(group string) (at time.Time, p tracker.Position, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	g := o.group(group)
	if len(g.samples) == 0 {
		return time.Time{}, tracker.Position{}, false
	}
	last := g.samples[len(g.samples)-1]
	return last.at, last.position, true
}

// Sample takes the position of the primary of a term that another VM saw at a
// time or later.
func (o *Observer) Sample(group string, term uint64, at time.Time, p tracker.Position) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if g := o.group(group); g.primary != "" && g.term == term && !g.deposed {
		g.addSample(at, p)
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

// ObserveStatus takes what an instance said when it was asked at a time, and
// reports whether the primary of its group changed.
func (o *Observer) ObserveStatus(now, asked time.Time, i Instance, st phraser.InstanceStatus) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	g := o.group(i.Group)
	defer g.notify()
	switch {
	case st.Leads && (st.Term > g.term || st.Term == g.term && i.ID != g.primary):
		// Only one instance leads a term: another id is its new process.
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

// Unlisted reports whether the platform no longer lists the primary of a group.
func (o *Observer) Unlisted(group string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	g := o.group(group)
	return g.primary != "" && g.instances[g.primary] == nil
}

// Lead takes another VM's word that an instance leads a term, and reports whether that was news.
func (o *Observer) Lead(now time.Time, group, id string, term uint64) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	g := o.group(group)
	// The primary's process has a successor in the same term when the platform
	// lists that one and no longer the former; old news must not undo that.
	reborn := term == g.term && id != g.primary && g.instances[id] != nil && g.instances[g.primary] == nil
	if term <= g.term && !reborn {
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
	g.notify()
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
		g.notify()
	}
}

// Opened reports whether the primary of a group may take writes: no VM can take
// an earlier one for the present one any more.
func (o *Observer) Opened(now time.Time, group string) bool {
	return o.OpensAt(now, group).IsZero()
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
