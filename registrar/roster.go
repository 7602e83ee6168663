package registrar

import (
	"slices"
	"strings"

	"github.com/marigoldgauge/marigoldgauge/ranker"
)

// Roster is the list of the member VMs of a cell, in ascending order of ID.
type Roster struct {
	// Version increases with every change by the same coordinator.
	Version uint64
	// Members are the member VMs.
	Members []Member
}

// Member returns the member with the given ID.
func (r Roster) Member(id string) (Member, bool) {
	for _, m := range r.Members {
		if m.ID == id {
			return m, true
		}
	}
	return Member{}, false
}

// Apply returns the roster with the added or changed members of a difference, and
// without those that are gone.
func (r Roster) Apply(difference Roster, gone []string) Roster {
	if len(difference.Members) == 0 && len(gone) == 0 {
		return Roster{Version: difference.Version, Members: r.Members}
	}
	out := Roster{Version: difference.Version}
	for _, m := range r.Members {
		if _, changed := difference.Member(m.ID); !changed && !slices.Contains(gone, m.ID) {
			out.Members = append(out.Members, m)
		}
	}
	out.Members = append(out.Members, difference.Members...)
	slices.SortFunc(out.Members, func(a, b Member) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// PoolOwner returns the VM that should own the connection pool of a group.
//
// VMs that are leaving or that avoid returns true for are excluded. A VM that cannot
// reach the group's primary is chosen only if there is no other.
func (r Roster) PoolOwner(group string, avoid func(id string) bool) (Member, bool) {
	var fit, rest []string
	for _, m := range r.Members {
		switch {
		case m.Leaving || (avoid != nil && avoid(m.ID)):
		case slices.Contains(m.UnfitGroups, group):
			rest = append(rest, m.ID)
		default:
			fit = append(fit, m.ID)
		}
	}
	if len(fit) == 0 {
		fit = rest
	}
	return r.Member(ranker.First("pool/"+group, fit))
}
