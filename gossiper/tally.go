package gossiper

import (
	"slices"
	"strings"
	"time"
)

// voteFor is how long a VM's word about a primary counts.
const voteFor = 3 * interval

// Tally counts the VMs of an availability zone that a primary serves, and does not.
type Tally struct {
	Group string `cbor:"1,keyasint"`
	Term  uint64 `cbor:"2,keyasint"`
	// Zone is the availability zone.
	Zone   string `cbor:"3,keyasint"`
	Lost   int    `cbor:"4,keyasint,omitempty"`
	Served int    `cbor:"5,keyasint,omitempty"`
}

// add counts what one VM says of a primary, if it is of the same term.
func (t *Tally) add(n GroupNews) {
	switch {
	case n.Group != t.Group || n.Term != t.Term:
	case n.Unreached:
		t.Lost++
	case n.Reached:
		t.Served++
	}
}

// count counts what the VMs that report here say of a primary. The lock is held.
func (g *Gossiper) count(now time.Time, group string, term uint64) Tally {
	t := Tally{Group: group, Term: term, Zone: g.zone}
	for _, p := range g.peers {
		if now.Sub(p.Heard) > voteFor {
			continue
		}
		for _, n := range p.Groups {
			t.add(n)
		}
	}
	return t
}

// ownTallies returns what the VMs that report here, and this one, say of the
// primaries that some VM cannot reach. The lock is held.
func (g *Gossiper) ownTallies(now time.Time) []Tally {
	contested := map[string]uint64{}
	note := func(group string, term uint64) { contested[group] = max(contested[group], term) }
	for _, p := range append([]Peer{{Message: g.self, Heard: now}}, g.direct()...) {
		for _, n := range p.Groups {
			if n.Unreached && now.Sub(p.Heard) <= voteFor {
				note(n.Group, n.Term)
			}
		}
	}
	for _, s := range g.sources {
		for _, t := range s.tallies {
			if s.direct && t.Lost > 0 && s.fresh(now, g.zone) {
				note(t.Group, t.Term)
			}
		}
	}
	var out []Tally
	for group, term := range contested {
		t := g.count(now, group, term)
		for _, n := range g.self.Groups {
			t.add(n)
		}
		if t.Lost+t.Served > 0 {
			out = append(out, t)
		}
	}
	slices.SortFunc(out, func(a, b Tally) int { return strings.Compare(a.Group, b.Group) })
	return out
}

// direct returns the VMs that report here. The lock is held.
func (g *Gossiper) direct() []Peer {
	out := make([]Peer, 0, len(g.peers))
	for _, p := range g.peers {
		out = append(out, *p)
	}
	return out
}

// farTallies returns what the speakers of other availability zones counted. The lock is held.
func (g *Gossiper) farTallies(now time.Time) []Tally {
	best := map[Tally]Tally{}
	for _, s := range g.sources {
		if !s.fresh(now, g.zone) {
			continue
		}
		for _, t := range s.tallies {
			if t.Zone == g.zone && s.direct {
				continue
			}
			key := Tally{Group: t.Group, Term: t.Term, Zone: t.Zone}
			if have := best[key]; t.Lost+t.Served >= have.Lost+have.Served {
				best[key] = t
			}
		}
	}
	out := make([]Tally, 0, len(best))
	for _, t := range best {
		out = append(out, t)
	}
	return out
}

// Votes counts the other VMs that the primary of a term of a group does not
// serve, and serves.
func (g *Gossiper) Votes(now time.Time, group string, term uint64) (lost, served int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	own := g.count(now, group, term)
	if !g.large() {
		return own.Lost, own.Served
	}
	told := false
	for _, t := range g.farTallies(now) {
		switch {
		case t.Group != group || t.Term != term:
		case t.Zone != g.zone:
			lost, served = lost+t.Lost, served+t.Served
		case t.Lost+t.Served > own.Lost+own.Served:
			// The speaker's count has this VM in it as well.
			own, told = t, true
		}
	}
	for _, n := range g.self.Groups {
		if told && n.Group == group && n.Term == term {
			own.Lost, own.Served = max(0, own.Lost-one(n.Unreached)), max(0, own.Served-one(n.Reached && !n.Unreached))
		}
	}
	return lost + own.Lost, served + own.Served
}

// one returns 1 for true.
func one(b bool) int {
	if b {
		return 1
	}
	return 0
}

// Contested reports whether some VM is known not to reach the primary of a group.
func (g *Gossiper) Contested(now time.Time, group string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range g.peers {
		for _, n := range p.Groups {
			if n.Group == group && n.Unreached && now.Sub(p.Heard) <= voteFor {
				return true
			}
		}
	}
	for _, s := range g.sources {
		for _, t := range s.tallies {
			if t.Group == group && t.Lost > 0 && s.fresh(now, g.zone) {
				return true
			}
		}
	}
	return false
}
