package throttler

import (
	"cmp"
	"slices"
	"strings"
)

// Usage describes how one organisation uses its rate at this VM.
type Usage struct {
	// Organisation is the name of the organisation.
	Organisation string
	// Rate is the limit over the whole fleet, in operations per second.
	Rate float64
	// Share is this VM's share of the split fraction of the rate.
	Share float64
	// Demand is the recent demand at this VM, in operations per second.
	Demand float64
	// Admitted and Refused count the operations since the process started.
	Admitted, Refused uint64
}

// CountAdmitted counts an operation that received a token.
func (t *Throttler) CountAdmitted(organisation string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if o := t.organisations[organisation]; o != nil {
		o.admitted++
	}
}

// CountRefused counts an operation that received no token.
func (t *Throttler) CountRefused(organisation string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if o := t.organisations[organisation]; o != nil {
		o.refused++
	}
}

// Usages returns the usage of the organisations with the most operations, at most
// limit of them, in descending order.
func (t *Throttler) Usages(limit int) []Usage {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]Usage, 0, len(t.organisations))
	for name, o := range t.organisations {
		out = append(out, Usage{Organisation: name, Rate: o.total.Rate, Share: o.share, Demand: o.demand, Admitted: o.admitted, Refused: o.refused})
	}
	slices.SortFunc(out, func(a, b Usage) int {
		return cmp.Or(cmp.Compare(b.Admitted+b.Refused, a.Admitted+a.Refused), strings.Compare(a.Organisation, b.Organisation))
	})
	return out[:min(limit, len(out))]
}
