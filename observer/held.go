package observer

import (
	"time"

	"github.com/marigoldgauge/marigoldgauge/tracker"
)

// MaxRecordAge is the age of the fleet's record up to which a VM takes a commit that a primary
// acknowledges for certain to be kept. It is longer than a record usually takes to a VM in touch. For
// as long after the record was written that names the primary as replaced, a VM may do so without knowing that.
const MaxRecordAge = 1500 * time.Millisecond

// IsRecordRecent reports whether this VM knows the fleet's record as of a time so close that no
// primary can have been replaced since without its knowledge.
func (o *Observer) IsRecordRecent(now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.lease.number > 0 && now.Sub(o.lease.asOf) <= MaxRecordAge
}

// ResolveHeldCommit returns the outcome of a commit that the primary of a term acknowledged by the
// given time at a position, at a VM that had no recent record. Unlike ResolveCommit, it does not take the
// acknowledgement for a proof: an instance that has started during a replacement may have received
// the commit, which the successor lacks. The commit is kept if the record as of a later time names no
// successor, or if a replica that the VM knew before has it and was not stopped since.
func (o *Observer) ResolveHeldCommit(acknowledged time.Time, group string, term uint64, p tracker.Position) Outcome {
	o.mu.Lock()
	defer o.mu.Unlock()
	g := o.group(group)
	outcome := o.resolveCommit(g, term, p)
	if outcome == Kept && g.term == term && !o.isHeld(g, acknowledged, p) {
		return Undecided
	}
	return outcome
}

// isHeld reports whether a successor of the primary of the present term would have a commit. The caller
// holds the lock.
func (o *Observer) isHeld(g *groupState, acknowledged time.Time, p tracker.Position) bool {
	if !o.lease.asOf.Before(acknowledged) {
		return true
	}
	for _, s := range g.instances {
		known := !s.listedAt.After(o.lease.asOf)
		receives := s.status.Term == g.term && s.status.PausedTerm == 0 && !s.statusAt.Before(acknowledged)
		if known && receives && !s.status.Received.Before(p) {
			return true
		}
	}
	return false
}
