package registrar

import (
	"slices"
	"strings"

	"github.com/marigoldgauge/marigoldgauge/placer"
)

// Roster is the list of the VMs that take part, in ascending order of name.
type Roster struct {
	// Version grows with every change that one coordinator makes.
	Version uint64
	// Members are the VMs.
	Members []Member
}

// Member returns a VM by name.
func (r Roster) Member(id string) (Member, bool) {
	for _, m := range r.Members {
		if m.ID == id {
			return m, true
		}
	}
	return Member{}, false
}

// Apply returns the roster after a difference: some members came or changed, and some went.
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

// Owner returns the VM that should own the pool of a group.
//
// A VM that is leaving, or that cannot reach the group's primary, is passed
// over as long as another one is left.
func (r Roster) Owner(group string, avoid func(id string) bool) (Member, bool) {
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
	return r.Member(placer.First("pool/"+group, fit))
}
