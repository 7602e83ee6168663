package gossiper

import (
	"slices"
	"strings"
	"time"
)

// voteTimeout is how long a VM's vote on a primary counts.
const voteTimeout = 3 * interval

// VoteCount counts the VMs of an availability zone that can and cannot use a primary.
type VoteCount struct {
	Group string `cbor:"1,keyasint"`
	Term  uint64 `cbor:"2,keyasint"`
	// Zone is the availability zone.
	Zone        string `cbor:"3,keyasint"`
	Unreachable int    `cbor:"4,keyasint,omitempty"`
	Reachable   int    `cbor:"5,keyasint,omitempty"`
}

// add counts the vote of one VM if it is for the same group and term.
func (t *VoteCount) add(n GroupStatus) {
	switch {
	case n.Group != t.Group || n.Term != t.Term:
	case n.Unreachable:
		t.Unreachable++
	case n.Reachable:
		t.Reachable++
	}
}

// countReporterVotes counts the votes of the VMs that report to this one. The caller must hold g.mu.
func (g *Gossiper) countReporterVotes(now time.Time, group string, term uint64) VoteCount {
	t := VoteCount{Group: group, Term: term, Zone: g.zone}
	for _, p := range g.peers {
		if now.Sub(p.Heard) > voteTimeout {
			continue
		}
		for _, n := range p.Groups {
			t.add(n)
		}
	}
	return t
}

// ownVotes returns the votes of this VM and the VMs that report to it, for each
// primary that some VM cannot reach. The caller must hold g.mu.
func (g *Gossiper) ownVotes(now time.Time) []VoteCount {
	contested := map[string]uint64{}
	add := func(group string, term uint64) { contested[group] = max(contested[group], term) }
	for _, n := range g.self.Votes {
		if n.Unreachable {
			add(n.Group, n.Term)
		}
	}
	for _, p := range g.peers {
		for _, n := range p.Groups {
			if n.Unreachable && now.Sub(p.Heard) <= voteTimeout {
				add(n.Group, n.Term)
			}
		}
	}
	for _, s := range g.relayStates {
		for _, t := range s.votes {
			if s.reporting && t.Unreachable > 0 && s.fresh(now, g.zone) {
				add(t.Group, t.Term)
			}
		}
	}
	var out []VoteCount
	for group, term := range contested {
		t := g.countReporterVotes(now, group, term)
		for _, n := range g.self.Votes {
			t.add(n)
		}
		if t.Unreachable+t.Reachable > 0 {
			out = append(out, t)
		}
	}
	slices.SortFunc(out, func(a, b VoteCount) int { return strings.Compare(a.Group, b.Group) })
	return out
}

// relayedVotes returns the votes counted by other relays that pass, the largest count for
// each availability zone. The caller must hold g.mu.
func (g *Gossiper) relayedVotes(now time.Time, pass func(t VoteCount) bool) []VoteCount {
	best := map[VoteCount]VoteCount{}
	for _, s := range g.relayStates {
		if !s.fresh(now, g.zone) {
			continue
		}
		for _, t := range s.votes {
			if !pass(t) || (t.Zone == g.zone && s.reporting) {
				continue
			}
			key := VoteCount{Group: t.Group, Term: t.Term, Zone: t.Zone}
			if have := best[key]; t.Unreachable+t.Reachable >= have.Unreachable+have.Reachable {
				best[key] = t
			}
		}
	}
	out := make([]VoteCount, 0, len(best))
	for _, t := range best {
		out = append(out, t)
	}
	return out
}

// boolToInt returns 1 for true and 0 for false.
func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// Contested returns the groups whose primary some other VM is known not to reach.
func (g *Gossiper) Contested(now time.Time) map[string]bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := map[string]bool{}
	for _, p := range g.peers {
		if now.Sub(p.Heard) > voteTimeout {
			continue
		}
		for _, n := range p.Groups {
			if n.Unreachable {
				out[n.Group] = true
			}
		}
	}
	for _, s := range g.relayStates {
		if !s.fresh(now, g.zone) {
			continue
		}
		for _, t := range s.votes {
			if t.Unreachable > 0 {
				out[t.Group] = true
			}
		}
		for _, group := range s.contested {
			out[group] = true
		}
	}
	return out
}
