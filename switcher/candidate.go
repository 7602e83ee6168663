package switcher

import (
	"cmp"
	"slices"
	"time"
)

// Candidate is a group whose primary is to be replaced.
type Candidate struct {
	// Group is the name of the group.
	Group string
	// Decision is why its primary is replaced.
	Decision Decision
	// Reports is the number of VMs that report the primary as unreachable. Only VMs whose
	// callers use the group notice, so it grows with the use of the group.
	Reports int
	// Failures is the number of replacements that failed since the last success.
	Failures int
	// Since is the time since which the primary does not serve.
	Since time.Time
}

// OrderCandidates sorts candidates by urgency.
//
// Unfinished replacements come first: their groups are stopped, and few. Then come the groups
// without service, those first that most VMs report, and then those lost first. Primaries that
// are about to stop come last, since they serve until they are replaced. A group whose
// replacement failed more than once, for example since none of its instances may succeed, comes
// after all that failed less often, so that such groups don't use up the concurrency.
func OrderCandidates(list []Candidate) {
	slices.SortFunc(list, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(max(a.Failures, 1), max(b.Failures, 1)), cmp.Compare(a.urgency(), b.urgency()), cmp.Compare(b.Reports, a.Reports), a.Since.Compare(b.Since), cmp.Compare(a.Group, b.Group))
	})
}

// urgency returns the class of a candidate; lower ones come first.
func (c Candidate) urgency() int {
	switch c.Decision {
	case Unfinished:
		return 0
	case Leaving:
		return 2
	default:
		return 1
	}
}
