package registrar

import (
	"slices"

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
