package switcher

import (
	"slices"

	"github.com/marigoldgauge/marigoldgauge/modeller"
	"github.com/marigoldgauge/marigoldgauge/observer"
)

// InstanceReport is an instance with the status that it returned once stopped.
type InstanceReport struct {
	// Instance is the instance.
	Instance observer.Instance
	// Status is the status that the instance returned; nil if it did not respond.
	Status *modeller.InstanceStatus
}

// ChooseSuccessor returns the instance to promote, which holds every acknowledged
// commit, or false if no instance is known to hold them all.
//
// A commit is acknowledged once one replica has received it. Therefore either all
// replicas that the platform lists must have been stopped, or the former primary
// must have stepped down and the candidate must hold its whole log. Of the
// instances with the longest log, one that is not leaving is preferred.
func ChooseSuccessor(former *InstanceReport, replicas []InstanceReport) (observer.Instance, bool) {
	var best *InstanceReport
	for n := range replicas {
		r := &replicas[n]
		if r.Status == nil {
			continue
		}
		if best == nil || preferred(r, best) {
			best = r
		}
	}
	stepped := former != nil && former.Status != nil && !former.Status.IsPrimary
	if best != nil && (allResponded(replicas) || (stepped && !best.Status.Received.Before(former.Status.Received))) {
		return best.Instance, true
	}
	if stepped && !former.Instance.Leaving {
		return former.Instance, true
	}
	return observer.Instance{}, false
}

// allResponded reports whether all instances returned a status.
func allResponded(list []InstanceReport) bool {
	return !slices.ContainsFunc(list, func(r InstanceReport) bool { return r.Status == nil })
}

// preferred reports whether a is preferred to b as the successor.
func preferred(a, b *InstanceReport) bool {
	if a.Status.Received != b.Status.Received {
		return b.Status.Received.Before(a.Status.Received)
	}
	if a.Instance.Leaving != b.Instance.Leaving {
		return b.Instance.Leaving
	}
	return a.Instance.ID < b.Instance.ID
}
