package switcher

import (
	"slices"

	"github.com/marigoldgauge/marigoldgauge/modeller"
	"github.com/marigoldgauge/marigoldgauge/observer"
	"github.com/marigoldgauge/marigoldgauge/tracker"
)

// InstanceReport is an instance with the status that it returned once stopped.
type InstanceReport struct {
	// Instance is the instance.
	Instance observer.Instance
	// Status is the status that the instance returned; nil if it did not respond.
	Status *modeller.InstanceStatus
}

// stoppedFor reports whether the instance is a replica that receives no commits of a term before
// the given one. An instance takes a pause only for a term above the newest that it knows.
func (r *InstanceReport) stoppedFor(term uint64) bool {
	return r.Status != nil && !r.Status.IsPrimary && r.Status.Term < term && r.Status.PausedTerm >= term
}

// DepartedReport is an instance that the platform no longer lists, with the status that it
// returned once stopped.
type DepartedReport struct {
	InstanceReport
	// Needed is the position that a log must reach to lack nothing that the instance held when it
	// left; zero if it is not known.
	Needed tracker.Position
	// Pending reports that the instance may live on, and neither responded nor let a request time
	// out yet: it may have received commits since it left.
	Pending bool
	// Absence states whether the instance may come back with its log.
	Absence Absence
}

// Evidence is what is known of the logs of a group whose primary is replaced.
type Evidence struct {
	// Term is the term for which the instances were stopped.
	Term uint64
	// Former is the former primary, asked to step down; nil if there is none, or it was not
	// waited for. FormerAbsence states whether it may come back with its log.
	Former        *InstanceReport
	FormerAbsence Absence
	// FormerServes reports that the former primary served, so that its replicas receive the rest of
	// its log if it leads again.
	FormerServes bool
	// Replicas are the other instances that the platform lists, and Departed those that it no
	// longer does.
	Replicas []InstanceReport
	Departed []DepartedReport
	// Unsettled reports that an earlier attempt may have promoted an instance that is not known to
	// lead: any instance that did not respond may hold commits of a term after the former primary's.
	Unsettled bool
	// Floor is the position that a log must reach to hold every commit that a VM has seen
	// acknowledged; zero if not known. Sealed reports that all live VMs stated theirs, and pass on
	// no more commits of the former term.
	Floor  tracker.Position
	Sealed bool
}

// Ground is why an instance is known to hold every acknowledged commit.
type Ground string

// The grounds.
const (
	// FormerSteppedDown means that the former primary has stepped down and holds no more.
	FormerSteppedDown Ground = "former-stepped-down"
	// AllStopped means that all instances that may hold commits are stopped, and none holds more.
	AllStopped Ground = "all-stopped"
	// FormerKept means that the former primary leads again, since only it holds all commits.
	FormerKept Ground = "former-kept"
	// FloorReached means that all instances that remain are stopped, and that no VM has seen a
	// later commit acknowledged than the longest log holds.
	FloorReached Ground = "floor-reached"
	// OthersEnded means that all instances that remain are stopped, and that none of the others can
	// come back, whatever it held.
	OthersEnded Ground = "others-ended"
)

// ChooseSuccessor returns the instance to promote, which holds every acknowledged commit, with
// the ground for that, or false if no instance is known to hold them all.
//
// A commit is acknowledged once one replica has received it, whether or not a VM sees the response.
// So the floors of the VMs show what a successor must hold, but not that it holds all: they decide
// only where the instances that may hold more have been away for long.
//
// Of the stopped replicas with the longest log, one that is not leaving is preferred. It holds all
// commits if it holds the whole log of the former primary, which has stepped down, or if every replica
// that may have received one is stopped, or has departed with nothing that it lacks. If it then lacks
// a part of the log of the former primary, or a commit that a VM has seen acknowledged, a replica that
// no VM knows may have received that.
func ChooseSuccessor(e Evidence) (observer.Instance, Ground, bool) {
	best, stepped := e.best(), e.formerHoldsAll()
	canLeadAgain := stepped && e.FormerServes
	switch {
	case best != nil && stepped && !best.Status.Received.Before(e.Former.Status.Received):
		return best.Instance, FormerSteppedDown, true
	case best != nil && !canLeadAgain && e.allStopped(best.Status.Received) && e.floorReached(best.Status.Received):
		return best.Instance, AllStopped, true
	case stepped:
		return e.Former.Instance, FormerKept, true
	case best != nil && e.allStopped(best.Status.Received) && (!best.Status.Received.Before(e.Floor) || e.FormerAbsence >= Gone):
		return best.Instance, AllStopped, true
	case best != nil && e.remainingStopped(best.Status.Received, Gone) && e.floorReached(best.Status.Received):
		return best.Instance, FloorReached, true
	case best != nil && e.remainingStopped(best.Status.Received, Ended):
		return best.Instance, OthersEnded, true
	default:
		return observer.Instance{}, "", false
	}
}

// formerHoldsAll reports whether the former primary has stepped down and its log is the latest one.
func (e *Evidence) formerHoldsAll() bool {
	if e.Former == nil || e.Former.Status == nil || e.Former.Status.IsPrimary || e.Former.Status.Term >= e.Term {
		return false
	}
	if e.Unsettled && !e.listedStopped() {
		return false
	}
	return !slices.ContainsFunc(e.Departed, func(d DepartedReport) bool {
		return d.Status != nil && e.Former.Status.Received.Before(d.Status.Received)
	})
}

// best returns the stopped replica that is preferred as the successor; nil if there is none.
func (e *Evidence) best() *InstanceReport {
	var best *InstanceReport
	for n := range e.Replicas {
		if r := &e.Replicas[n]; r.stoppedFor(e.Term) && (best == nil || preferred(r, best)) {
			best = r
		}
	}
	return best
}

// isConclusive reports whether more evidence would not lead to another successor: a replica holds
// all that is known to have been acknowledged, or all responded and only the former primary does.
func (e *Evidence) isConclusive(ground Ground) bool {
	switch ground {
	case FormerSteppedDown, FloorReached:
		return true
	case AllStopped:
		best := e.best().Status.Received
		formerHasMore := e.formerHoldsAll() && best.Before(e.Former.Status.Received)
		return !formerHasMore && !best.Before(e.Floor)
	case FormerKept:
		return e.listedStopped()
	default:
		return false
	}
}

// floorReached reports whether a log holds every commit that a live VM has seen acknowledged.
func (e *Evidence) floorReached(p tracker.Position) bool {
	return e.Sealed && e.Floor != (tracker.Position{}) && !p.Before(e.Floor)
}

// listedStopped reports whether every listed replica is stopped.
func (e *Evidence) listedStopped() bool {
	return !slices.ContainsFunc(e.Replicas, func(r InstanceReport) bool { return !r.stoppedFor(e.Term) })
}

// allStopped reports whether every replica that may hold commits is stopped or has left nothing
// beyond a position.
func (e *Evidence) allStopped(best tracker.Position) bool {
	return e.listedStopped() && !slices.ContainsFunc(e.Departed, func(d DepartedReport) bool { return d.mayHoldMore(e.Term, best) })
}

// remainingStopped reports whether every instance that may hold commits beyond a position is stopped,
// except those of at least the given absence.
func (e *Evidence) remainingStopped(best tracker.Position, absence Absence) bool {
	return e.FormerAbsence >= absence && e.listedStopped() &&
		!slices.ContainsFunc(e.Departed, func(d DepartedReport) bool { return d.Absence < absence && d.mayHoldMore(e.Term, best) })
}

// mayHoldMore reports whether a departed instance may hold commits beyond a position.
func (d *DepartedReport) mayHoldMore(term uint64, best tracker.Position) bool {
	if d.stoppedFor(term) {
		return best.Before(d.Status.Received)
	}
	return d.Pending || d.Needed == (tracker.Position{}) || best.Before(d.Needed)
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
