package sharer

import (
	"cmp"
	"slices"
	"strings"
)

// Usage is what one organisation did with its rate at this VM.
type Usage struct {
	// Organisation names it.
	Organisation string
	// Rate is what the whole fleet allows, in operations a second.
	Rate float64
	// Share is this VM's part of the part that is split.
	Share float64
	// Demand is what was lately asked of this VM, in operations a second.
	Demand float64
	// Admitted and Refused count the operations since the process started.
	Admitted, Refused uint64
}

// Admitted counts an operation that got a token.
func (s *Sharer) Admitted(organisation string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a := s.accounts[organisation]; a != nil {
		a.admitted++
	}
}

// Refused counts an operation that got none.
func (s *Sharer) Refused(organisation string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a := s.accounts[organisation]; a != nil {
		a.refused++
	}
}

// Usages returns what the organisations did, at most a number of them: those
// that asked the most come first.
func (s *Sharer) Usages(most int) []Usage {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]Usage, 0, len(s.accounts))
	for name, a := range s.accounts {
		out = append(out, Usage{Organisation: name, Rate: a.whole.Rate, Share: a.share, Demand: a.demand, Admitted: a.admitted, Refused: a.refused})
	}
	slices.SortFunc(out, func(a, b Usage) int {
		return cmp.Or(cmp.Compare(b.Admitted+b.Refused, a.Admitted+a.Refused), strings.Compare(a.Organisation, b.Organisation))
	})
	return out[:min(most, len(out))]
}
