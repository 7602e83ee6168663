package tracker

import "time"

// Instance is the state of one instance as observed by a Group.
type Instance struct {
	// ID identifies the instance.
	ID string
	// Status is the last status that the instance reported.
	Status Status
	// RequestedAt is the time at which Status was requested.
	RequestedAt time.Time
	// LastResponse is the time at which the last response was received.
	LastResponse time.Time
	// Responded reports whether the instance has ever responded.
	Responded bool
}

// reachable reports whether the instance responded within reachableTimeout.
func (i *Instance) reachable(now time.Time) bool {
	return i.Responded && now.Sub(i.LastResponse) <= reachableTimeout
}

// contains reports whether the log of i, a primary, has reached the term of p and
// contains the entry at p.
func (i *Instance) contains(p Position) bool {
	return p.Term <= i.Status.History.Term() && i.Status.History.Contains(p)
}
