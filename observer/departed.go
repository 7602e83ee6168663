package observer

import (
	"maps"
	"slices"
	"time"

	"github.com/marigoldgauge/marigoldgauge/tracker"
)

// DepartedRetention is how long an instance that left the list counts as a member of its group. One
// that did not announce its end may live on without an entry, and receive commits of later terms.
const DepartedRetention = time.Minute

// returnPeriod is how long an instance that left the list, or another one with its log, may take to
// be listed again. It is longer than a restart takes.
const returnPeriod = 10 * time.Second

// Departed is an instance that the platform no longer lists. It may hold acknowledged commits
// that the listed ones lack.
type Departed struct {
	Instance
	// Needed is a position that the primary reported after the departure: a log that reaches it
	// lacks nothing that the instance held then. It is zero while no such position is known.
	Needed tracker.Position
	// Led reports that it was the primary of the present term when it left.
	Led bool

	at time.Time
	// knownAsOf is the time as of which it was last listed, and leavingSince since when it had been
	// leaving then; zero if it was not.
	knownAsOf, leavingSince time.Time
}

// IsAway reports whether the instance left the list so long ago that neither it nor another one with
// its log is expected to be listed again.
func (d Departed) IsAway(now time.Time) bool {
	return now.Sub(d.at) >= returnPeriod
}

// Departed returns the instances that left the list in the present term of a group, or shortly
// before it without having announced their end, in the order of their departure. What they held
// counts as gone after DepartedRetention.
func (o *Observer) Departed(now time.Time, group string) []Departed {
	o.mu.Lock()
	defer o.mu.Unlock()
	g := o.group(group)
	maps.DeleteFunc(g.departed, func(_ string, d Departed) bool { return now.Sub(d.at) > DepartedRetention })
	out := slices.Collect(maps.Values(g.departed))
	slices.SortFunc(out, func(a, b Departed) int { return a.at.Compare(b.at) })
	return out
}

// UnseenDepartures returns what stands for the instances that may have left a group before this process
// first knew its list, or false once none of them, nor a primary that knows what they held, is expected
// to be listed again.
func (o *Observer) UnseenDepartures(now time.Time, group string) (Departed, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	g := o.group(group)
	d := Departed{Instance: Instance{Group: group, Leaving: true}, Needed: g.unseenNeeded, at: g.listedSince}
	return d, !g.listedSince.IsZero() && !d.IsAway(now)
}

// recordDeparture records that an instance left the list.
func (g *groupState) recordDeparture(now, knownAsOf time.Time, s *instanceState) {
	if g.departed == nil {
		g.departed = map[string]Departed{}
	}
	g.departed[s.ID] = Departed{Instance: s.Instance, Led: s.ID == g.primary, at: now, knownAsOf: knownAsOf, leavingSince: s.leavingSince}
}

// boundDepartures records a position of the primary as of a time as the one that a log must reach
// to lack nothing that the instances that had departed by then held.
func (g *groupState) boundDepartures(asOf time.Time, p tracker.Position) {
	if g.unseenNeeded == (tracker.Position{}) && !g.listedSince.IsZero() && !asOf.Before(g.listedSince) {
		g.unseenNeeded = p
	}
	for id, d := range g.departed {
		if d.Needed == (tracker.Position{}) && !asOf.Before(d.at) {
			d.Needed = p
			g.departed[id] = d
		}
	}
}

// carryDepartures keeps the departed instances that may receive commits of a new term.
func (g *groupState) carryDepartures() {
	g.unseenNeeded = tracker.Position{}
	for id, d := range g.departed {
		if d.Leaving {
			delete(g.departed, id)
			continue
		}
		d.Needed, d.Led = tracker.Position{}, false
		g.departed[id] = d
	}
}

// CommitFloor returns the position that a log must reach to hold every commit that this VM has seen
// acknowledged in the present term or before; zero if it is not known, or that term is later than
// the given one.
func (o *Observer) CommitFloor(group string, term uint64) tracker.Position {
	o.mu.Lock()
	defer o.mu.Unlock()
	g := o.groups[group]
	if g == nil || g.term > term {
		return tracker.Position{}
	}
	return g.floor.Max(g.inherited)
}

// Outcome is what a VM knows of a commit that a superseded primary acknowledged.
type Outcome uint8

// The outcomes.
const (
	// Undecided means that the successor's log is not known yet.
	Undecided Outcome = iota
	// Kept means that the commit is in the log of the primary.
	Kept
	// Unknown means that the commit may be missing from the log of the primary.
	Unknown
)

// ResolveCommit returns the outcome of a commit that the primary of a term, which was being
// replaced, acknowledged at a position. A replacement that is withdrawn keeps it.
func (o *Observer) ResolveCommit(group string, term uint64, p tracker.Position) Outcome {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.resolveCommit(o.group(group), term, p)
}

// resolveCommit does so. The caller holds the lock.
func (o *Observer) resolveCommit(g *groupState, term uint64, p tracker.Position) Outcome {
	switch {
	case g.term == term && o.isSuperseded(g):
		return Undecided
	case g.term == term:
		g.floor = g.floor.Max(p)
		return Kept
	case g.term > term && g.inherited != (tracker.Position{}) && !g.inherited.Before(p):
		return Kept
	case g.term > term && len(g.samples) == 0:
		return Undecided
	default:
		return Unknown
	}
}
