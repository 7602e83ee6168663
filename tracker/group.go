package tracker

import (
	"slices"
	"sort"
	"time"
)

const (
	// reachableTimeout is how long an instance counts as reachable after a response.
	reachableTimeout = time.Second
	// maxSamples is the maximum number of stored positions of the primary.
	maxSamples = 512
	// minSampleInterval is the minimum time between two stored positions.
	minSampleInterval = 20 * time.Millisecond
)

// sample is a position of the primary at a time.
type sample struct {
	at     time.Time
	offset uint64
}

// Group tracks the instances of one database group.
//
// A Group is not safe for concurrent use.
type Group struct {
	instances []*Instance
	primary   string
	samples   []sample
}

// NewGroup returns a Group of the instances with the given IDs.
func NewGroup(ids []string) *Group {
	g := &Group{}
	for _, id := range ids {
		g.instances = append(g.instances, &Instance{ID: id})
	}
	return g
}

// Instance returns an instance by its ID, or nil if it is not in the group.
func (g *Group) Instance(id string) *Instance {
	for _, i := range g.instances {
		if i.ID == id {
			return i
		}
	}
	return nil
}

// Instances returns the instances in the order of the settings.
func (g *Group) Instances() []*Instance {
	return g.instances
}

// Majority returns the number of instances that form a majority.
func (g *Group) Majority() int {
	return len(g.instances)/2 + 1
}

// Observe records a status that was requested at asked and received at heard.
func (g *Group) Observe(id string, asked, heard time.Time, s Status) {
	i := g.Instance(id)
	if i == nil {
		return
	}
	i.Responded = true
	i.LastResponse = heard
	if asked.Before(i.RequestedAt) {
		return
	}
	i.RequestedAt = asked
	i.Status = s
	g.choosePrimary()
	if id == g.primary {
		g.addSample(asked, s.Applied.Offset)
	}
}

// ObservePosition records that an instance had applied p, as it reported in a
// response that was requested at asked and received at heard.
func (g *Group) ObservePosition(id string, asked, heard time.Time, p Position) {
	i := g.Instance(id)
	if i == nil || !i.Responded {
		return
	}
	i.LastResponse = heard
	if i.Status.Applied.Before(p) && p.Term == i.Status.Applied.Term {
		i.Status.Applied = p
	}
	if id == g.primary && p.Term == i.Status.History.Term() {
		g.addSample(asked, p.Offset)
	}
}

// choosePrimary selects the instance with the highest log term among those that
// accept writes as the primary.
func (g *Group) choosePrimary() {
	best := ""
	var bestTerm uint64
	for _, i := range g.instances {
		if !i.Responded || !i.Status.Primary {
			continue
		}
		if term := i.Status.History.Term(); best == "" || term > bestTerm {
			best, bestTerm = i.ID, term
		}
	}
	if best != g.primary {
		g.primary = best
		g.samples = g.samples[:0]
	}
}

// addSample stores a position of the primary.
func (g *Group) addSample(at time.Time, offset uint64) {
	n := len(g.samples)
	if n > 0 && at.Sub(g.samples[n-1].at) < minSampleInterval {
		return
	}
	if n == maxSamples {
		g.samples = slices.Delete(g.samples, 0, n/2)
	}
	g.samples = append(g.samples, sample{at: at, offset: offset})
}

// Primary returns the instance that accepts writes, or nil if none is known.
func (g *Group) Primary() *Instance {
	return g.Instance(g.primary)
}

// Term returns the term of the primary's log, or 0 if there is no primary.
func (g *Group) Term() uint64 {
	if p := g.Primary(); p != nil {
		return p.Status.History.Term()
	}
	return 0
}

// MaxTerm returns the highest term that any instance has promised to follow.
func (g *Group) MaxTerm() uint64 {
	var term uint64
	for _, i := range g.instances {
		term = max(term, i.Status.Term)
	}
	return term
}

// ConfirmedAt returns the latest time at which a majority still followed term.
//
// A response confirms the term only as of the time at which it was requested.
func (g *Group) ConfirmedAt(term uint64) time.Time {
	var asked []time.Time
	for _, i := range g.instances {
		if i.Responded && i.Status.Term == term {
			asked = append(asked, i.RequestedAt)
		}
	}
	if len(asked) < g.Majority() {
		return time.Time{}
	}
	sort.Slice(asked, func(a, b int) bool { return asked[a].After(asked[b]) })
	return asked[g.Majority()-1]
}

// Deposed reports whether a majority has promised to follow a later term.
func (g *Group) Deposed(term uint64) bool {
	later := 0
	for _, i := range g.instances {
		if i.Status.Term > term {
			later++
		}
	}
	return later >= g.Majority()
}

// Lost reports whether a change of primary discarded the entry at p.
func (g *Group) Lost(p Position) bool {
	primary := g.Primary()
	return primary != nil && !primary.Status.History.Contains(p)
}

// freshAsOf returns the latest time up to confirmed at which an instance at
// offset had all entries of the primary.
func (g *Group) freshAsOf(offset uint64, confirmed time.Time) (time.Time, bool) {
	for i := len(g.samples) - 1; i >= 0; i-- {
		s := g.samples[i]
		if s.offset <= offset && !s.at.After(confirmed) {
			return s.at, true
		}
	}
	return time.Time{}, false
}

// Replicas returns the replicas that satisfy need, the freshest first.
func (g *Group) Replicas(now time.Time, need Requirement) []Candidate {
	primary := g.Primary()
	if primary == nil || !primary.contains(need.MinPosition) {
		return nil
	}
	confirmed := g.ConfirmedAt(primary.Status.History.Term())
	var out []Candidate
	for _, i := range g.instances {
		if c, ok := g.replica(now, i, primary, confirmed, need); ok {
			out = append(out, c)
		}
	}
	sort.SliceStable(out, func(a, b int) bool { return out[a].Staleness < out[b].Staleness })
	return out
}

// replica returns an instance as a candidate if it is a replica that satisfies need.
func (g *Group) replica(now time.Time, i, primary *Instance, confirmed time.Time, need Requirement) (Candidate, bool) {
	if i.ID == primary.ID || i.Status.Primary || i.Status.Leaving || !i.reachable(now) {
		return Candidate{}, false
	}
	applied := i.Status.Applied
	if !primary.Status.History.Contains(applied) || applied.Offset < need.MinPosition.Offset {
		return Candidate{}, false
	}
	fresh, ok := g.freshAsOf(applied.Offset, confirmed)
	if !ok || now.Sub(fresh) > need.MaxStaleness {
		return Candidate{}, false
	}
	return Candidate{ID: i.ID, Staleness: now.Sub(fresh)}, true
}

// PrimaryCandidate returns the primary as a candidate for a read if a majority
// confirmed its term within the allowed staleness.
func (g *Group) PrimaryCandidate(now time.Time, need Requirement) (Candidate, bool) {
	primary := g.Primary()
	if primary == nil || !primary.reachable(now) || !primary.contains(need.MinPosition) {
		return Candidate{}, false
	}
	age := now.Sub(g.ConfirmedAt(primary.Status.History.Term()))
	if age > need.MaxStaleness {
		return Candidate{}, false
	}
	return Candidate{ID: primary.ID, Primary: true, Staleness: age}, true
}

// WritablePrimary returns the primary if it may accept a write: it is reachable and a
// majority confirmed its term within maxAge.
func (g *Group) WritablePrimary(now time.Time, maxAge time.Duration) (*Instance, bool) {
	primary := g.Primary()
	if primary == nil || !primary.reachable(now) {
		return nil, false
	}
	term := primary.Status.History.Term()
	if primary.Status.Term != term {
		return nil, false
	}
	if now.Sub(g.ConfirmedAt(term)) > maxAge {
		return nil, false
	}
	return primary, true
}

// Satisfies reports whether a result that an instance read at position p satisfies
// need. A change of primary or a long wait since the instance was chosen may have
// invalidated that choice.
func (g *Group) Satisfies(now time.Time, need Requirement, p Position) bool {
	primary := g.Primary()
	if primary == nil || !primary.contains(need.MinPosition) || !primary.contains(p) || p.Offset < need.MinPosition.Offset {
		return false
	}
	fresh, ok := g.freshAsOf(p.Offset, g.ConfirmedAt(primary.Status.History.Term()))
	return ok && now.Sub(fresh) <= need.MaxStaleness
}
