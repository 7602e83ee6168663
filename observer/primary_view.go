package observer

import (
	"slices"
	"strings"
	"time"

	"github.com/marigoldgauge/marigoldgauge/tracker"
)

// PrimaryView is the state of the primary of a group as this VM knows it.
type PrimaryView struct {
	Group   string
	Primary string
	Term    uint64
	// Known reports that the primary is known and was not deposed.
	Known bool
	// Leaderless reports that no primary is known though instances have responded.
	Leaderless bool
	// Since is when this VM learned of the primary. Discovered reports that it is the first
	// one that this process knows, so that it may have led for long.
	Since      time.Time
	Discovered bool
	// WritesOpen reports that the primary may accept writes.
	WritesOpen bool
	// UnservedSince is the time since which the primary does not serve this VM, zero
	// while it does. RespondedAt is when it last responded to this VM.
	UnservedSince, RespondedAt time.Time
	// Listed reports, where no primary is known, that the platform lists an instance that
	// regards itself as one. Leaving reports that the known primary is about to stop.
	Listed, Leaving bool
	// Position is the last sampled position of the primary, at SampledAt; zero if none.
	Position  tracker.Position
	SampledAt time.Time
}

// ActivePeriod is how long a group counts as active after its primary changed or was
// sampled.
const ActivePeriod = 5 * time.Second

// PrimaryViews returns the state of the primaries of all groups that have instances, in
// ascending order of group.
func (o *Observer) PrimaryViews(now time.Time) []PrimaryView {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := make([]PrimaryView, 0, len(o.groups))
	for _, g := range o.groups {
		if len(g.instances) > 0 {
			out = append(out, o.primaryView(now, g))
		}
	}
	return sortViews(out)
}

// ActivePrimaryViews returns the state of the primaries of the active groups that have
// instances and pass, in ascending order of group. A group is active if its primary changed or was
// sampled in the last ActivePeriod, is superseded, does not serve this VM, is leaving or is
// not known though it should be, or if the group is in include.
//
// In a large fleet nothing happens to most groups, and they are not looked at.
func (o *Observer) ActivePrimaryViews(now time.Time, include map[string]bool, pass func(v *PrimaryView) bool) []PrimaryView {
	o.mu.Lock()
	defer o.mu.Unlock()
	for name := range include {
		o.group(name)
	}
	var out []PrimaryView
	for name, g := range o.active {
		v := o.primaryView(now, g)
		if len(g.instances) > 0 && pass(&v) {
			out = append(out, v)
		}
		if len(g.instances) == 0 || (v.isIdle(now) && o.lease.Superseded[name] < max(g.term, 1)) {
			g.active = false
			delete(o.active, name)
		}
	}
	return sortViews(out)
}

// sortViews sorts views by group.
func sortViews(views []PrimaryView) []PrimaryView {
	slices.SortFunc(views, func(a, b PrimaryView) int { return strings.Compare(a.Group, b.Group) })
	return views
}

// primaryView returns the state of the primary of a group. The caller holds the lock.
func (o *Observer) primaryView(now time.Time, g *groupState) PrimaryView {
	o.applyLease(g)
	v := PrimaryView{
		Group: g.name, Primary: g.primary, Term: g.term, Known: g.primary != "" && !g.deposed, Since: g.primarySince, Discovered: g.discovered,
		WritesOpen: g.writesOpenAt(now).IsZero() && !o.isSuperseded(g), UnservedSince: g.unservedSince(),
	}
	if s := g.instances[g.primary]; s != nil {
		v.RespondedAt, v.Leaving = s.respondedAt, s.Leaving
	}
	if n := len(g.samples); n > 0 {
		v.Position, v.SampledAt = g.samples[n-1].position, g.samples[n-1].at
	}
	if !v.Known {
		v.Leaderless, v.Listed = g.hasResponded(), g.hasListedPrimary()
	}
	return v
}

// isIdle reports whether a group stays as it is until it is used again.
func (v *PrimaryView) isIdle(now time.Time) bool {
	if !v.Known {
		return !v.Leaderless && v.Listed
	}
	return !v.Leaving && v.UnservedSince.IsZero() && now.Sub(v.Since) > ActivePeriod && now.Sub(v.SampledAt) > ActivePeriod
}

// hasResponded reports whether any instance of the group has responded to this VM.
func (g *groupState) hasResponded() bool {
	for _, s := range g.instances {
		if !s.respondedAt.IsZero() {
			return true
		}
	}
	return false
}

// hasListedPrimary reports whether the platform lists an instance of the group that regards
// itself as the primary.
func (g *groupState) hasListedPrimary() bool {
	for _, s := range g.instances {
		if s.Leads {
			return true
		}
	}
	return false
}
