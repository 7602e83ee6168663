package observer

import (
	"slices"
	"time"

	"github.com/marigoldgauge/marigoldgauge/modeller"
	"github.com/marigoldgauge/marigoldgauge/tracker"
)

// Primary returns the primary of a group and its term. It returns false while no
// current primary is known.
func (o *Observer) Primary(group string) (id string, term uint64, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	g := o.group(group)
	return g.primary, g.term, g.primary != "" && !g.deposed
}

// WasDiscovered reports whether this process has known a primary of a group.
func (o *Observer) WasDiscovered(group string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.group(group).primary != ""
}

// Confirmed returns the latest time as of which the primary of a group is known to
// be the only one.
func (o *Observer) Confirmed(group string) time.Time {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.group(group).confirmed
}

// Watermark returns the earliest known position that covers every commit
// acknowledged before the time at.
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

// RecordCommit records that the primary of a term acknowledged a commit, which was sent at the
// given time, at a position. Where commits wait for a replica this confirms the primary. It returns
// what is known of the commit. It is undecided once the primary of the term is being replaced: the
// successor may have been chosen before. Once a later term is known, the former primary may have
// rolled the commit back, and the position may be that of another log.
func (o *Observer) RecordCommit(sent time.Time, i Instance, term uint64, p tracker.Position) Outcome {
	o.mu.Lock()
	defer o.mu.Unlock()
	g := o.group(i.Group)
	switch {
	case g.term != term || g.highestTerm > term:
		return Unknown
	case o.isSuperseded(g):
		return Undecided
	}
	g.floor = g.floor.Max(p)
	if i.ID != g.primary || g.deposed {
		return Kept
	}
	g.unacknowledged, g.unacknowledgedSince = 0, time.Time{}
	if sent.After(g.confirmed) {
		g.confirmed = sent
	}
	o.notify(g)
	return Kept
}

// RecordUnacknowledgedCommit records that the primary did not acknowledge a commit that was sent at the
// given time.
func (o *Observer) RecordUnacknowledgedCommit(sent time.Time, i Instance) {
	o.mu.Lock()
	defer o.mu.Unlock()
	g := o.group(i.Group)
	if i.ID != g.primary {
		return
	}
	if g.unacknowledged == 0 {
		g.unacknowledgedSince = sent
	}
	g.unacknowledged++
}

// AddSample records the position of the primary of a term that another VM observed at
// the given time or later.
func (o *Observer) AddSample(group string, term uint64, at time.Time, p tracker.Position) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if g := o.group(group); g.primary != "" && g.term == term && !g.deposed {
		o.addSample(g, at, p)
	}
}

// NeedsSample reports whether the latest sample of the primary's position is so old
// that it will soon be of no use as a watermark.
func (o *Observer) NeedsSample(group string, now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	g := o.group(group)
	return len(g.samples) == 0 || now.Sub(g.samples[len(g.samples)-1].at) > maxSampleAge
}

// maxSampleAge is the age of the latest sample from which the primary is asked for
// its position.
const maxSampleAge = 200 * time.Millisecond

// ObserveStatus records the status that an instance returned to a request sent at
// the given time, and reports whether the primary of its group changed.
func (o *Observer) ObserveStatus(now, sent time.Time, i Instance, st modeller.InstanceStatus) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	g := o.group(i.Group)
	defer o.notify(g)
	if s := g.instances[i.ID]; s != nil && !st.IsPrimary {
		s.status, s.statusAt = st, sent
	}
	switch {
	case st.IsPrimary && (st.Term > g.term || st.Term == g.term && i.ID != g.primary):
		// Only one instance leads a term, so another id is its restarted process.
		o.setPrimary(g, now, i.ID, st.Term)
		o.addSample(g, sent, st.Received)
		return true
	case st.IsPrimary && st.Term == g.term && i.ID == g.primary:
		g.deposed = g.highestTerm > g.term
		g.unreachedSince = time.Time{}
		o.addSample(g, sent, st.Received)
	case st.Term > g.term:
		g.observeLaterTerm(st.Term)
	case i.ID == g.primary && !st.IsPrimary:
		g.deposed = true
	case !st.IsPrimary && st.Term == g.term && st.PausedTerm == 0 && !g.deposed && !o.isSuperseded(g) && sent.After(g.confirmed):
		g.confirmed = sent
	}
	return false
}

// PrimaryUnlisted reports whether the platform no longer lists the primary of a group.
func (o *Observer) PrimaryUnlisted(group string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	g := o.group(group)
	return g.primary != "" && g.instances[g.primary] == nil
}

// LearnPrimary records that, according to another VM, an instance leads a term, and reports
// whether this VM did not know so before.
func (o *Observer) LearnPrimary(now time.Time, group, id string, term uint64) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	g := o.group(group)
	// The primary was restarted within its term if the platform lists the new
	// process and no longer the former one. Outdated information must not undo that.
	restarted := term == g.term && id != g.primary && g.instances[id] != nil && g.instances[g.primary] == nil
	if term <= g.term && !restarted {
		return false
	}
	o.setPrimary(g, now, id, term)
	return true
}

// OpenWrites records that the primary of a term may accept writes.
func (o *Observer) OpenWrites(group string, term uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if g := o.group(group); g.term == term {
		g.writesOpen = true
		o.notify(g)
	}
}

// WritesOpen reports whether the primary of a group may accept writes, because no VM can
// regard an earlier primary as current any more, and it is not being replaced itself.
func (o *Observer) WritesOpen(now time.Time, group string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	g := o.group(group)
	return g.writesOpenAt(now).IsZero() && !o.isSuperseded(g)
}

// UnservedSince returns the time since which the primary of a group does not serve this
// VM: it does not respond, or acknowledges no commit. It is zero while it does.
func (o *Observer) UnservedSince(group string) time.Time {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.group(group).unservedSince()
}

// unservedSince returns the time since which the primary does not serve this VM.
func (g *groupState) unservedSince() time.Time {
	if g.unacknowledged >= unacknowledgedLimit {
		return g.unacknowledgedSince
	}
	return g.unreachedSince
}

// unacknowledgedLimit is the number of consecutive commits without an acknowledgement
// from which a primary counts as not serving. A single one may be due to a broken
// connection.
const unacknowledgedLimit = 2
