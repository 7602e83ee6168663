package gossiper

import "time"

// PrimaryTerm identifies the primary of a group in a term.
type PrimaryTerm struct {
	Group string
	Term  uint64
}

// VoteTotal counts the VMs that can and that cannot use a primary.
type VoteTotal struct{ Unreachable, Reachable int }

// add adds the vote of one VM.
func (t VoteTotal) add(n GroupStatus) VoteTotal {
	switch {
	case n.Unreachable:
		t.Unreachable++
	case n.Reachable:
		t.Reachable++
	}
	return t
}

// sum returns the number of VMs counted.
func (t VoteTotal) sum() int { return t.Unreachable + t.Reachable }

// VoteTotals holds the counts of the votes on primaries.
type VoteTotals map[PrimaryTerm]VoteTotal

// Count returns the number of VMs that cannot and that can use the primary of a group in a
// term.
func (t VoteTotals) Count(group string, term uint64) (lost, served int) {
	n := t[PrimaryTerm{Group: group, Term: term}]
	return n.Unreachable, n.Reachable
}

// VoteTotals returns the votes of the other VMs on all primaries on which one has voted. It
// takes one pass over the votes, as many primaries may be lost at once.
func (g *Gossiper) VoteTotals(now time.Time) VoteTotals {
	g.mu.Lock()
	defer g.mu.Unlock()
	own := VoteTotals{}
	for _, p := range g.peers {
		if now.Sub(p.Heard) > voteTimeout {
			continue
		}
		for _, n := range p.Groups {
			key := PrimaryTerm{Group: n.Group, Term: n.Term}
			own[key] = own[key].add(n)
		}
	}
	if !g.isLarge() {
		return own
	}
	others, fromRelay := VoteTotals{}, map[PrimaryTerm]bool{}
	for _, t := range g.relayedVotes(now, func(VoteCount) bool { return true }) {
		key, counted := PrimaryTerm{Group: t.Group, Term: t.Term}, VoteTotal{Unreachable: t.Unreachable, Reachable: t.Reachable}
		switch {
		case t.Zone != g.zone:
			before := others[key]
			others[key] = VoteTotal{Unreachable: before.Unreachable + t.Unreachable, Reachable: before.Reachable + t.Reachable}
		case counted.sum() > own[key].sum():
			// The relay's count includes this VM.
			own[key], fromRelay[key] = counted, true
		}
	}
	for _, n := range g.self.Votes {
		if key := (PrimaryTerm{Group: n.Group, Term: n.Term}); fromRelay[key] {
			v := own[key]
			own[key] = VoteTotal{Unreachable: max(0, v.Unreachable-boolToInt(n.Unreachable)), Reachable: max(0, v.Reachable-boolToInt(n.Reachable && !n.Unreachable))}
		}
	}
	for key, v := range others {
		n := own[key]
		own[key] = VoteTotal{Unreachable: n.Unreachable + v.Unreachable, Reachable: n.Reachable + v.Reachable}
	}
	return own
}
