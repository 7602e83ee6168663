package switcher

import (
	"slices"

	"github.com/marigoldgauge/marigoldgauge/observer"
	"github.com/marigoldgauge/marigoldgauge/phraser"
)

// Witness is an instance with what it said after it was stopped.
type Witness struct {
	// Instance is the instance.
	Instance observer.Instance
	// Status is what it said; nil when it did not answer.
	Status *phraser.InstanceStatus
}

// Elect returns the instance that holds every acknowledged commit and should
// lead, or false while none is known to.
//
// A commit is acknowledged once one replica has received it. All replicas that
// the platform lists must therefore have been stopped, or the former primary
// must have been stepped down and the candidate hold its whole log. Among those
// with the longest log an instance that stays goes first.
func Elect(former *Witness, replicas []Witness) (observer.Instance, bool) {
	var best *Witness
	for n := range replicas {
		w := &replicas[n]
		if w.Status == nil {
			continue
		}
		if best == nil || better(w, best) {
			best = w
		}
	}
	stepped := former != nil && former.Status != nil && !former.Status.Leads
	if best != nil && (allAnswered(replicas) || (stepped && !best.Status.Received.Before(former.Status.Received))) {
		return best.Instance, true
	}
	if stepped && !former.Instance.Leaving {
		return former.Instance, true
	}
	return observer.Instance{}, false
}

// allAnswered reports whether all of the instances said something.
func allAnswered(list []Witness) bool {
	return !slices.ContainsFunc(list, func(w Witness) bool { return w.Status == nil })
}

// better reports whether a should lead rather than b.
func better(a, b *Witness) bool {
	if a.Status.Received != b.Status.Received {
		return b.Status.Received.Before(a.Status.Received)
	}
	if a.Instance.Leaving != b.Instance.Leaving {
		return b.Instance.Leaving
	}
	return a.Instance.ID < b.Instance.ID
}
