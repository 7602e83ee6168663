package tracker

import "time"

// Instance is the state of one instance as observed by a Group.
type Instance struct {
	// ID identifies the instance.
	ID string
	// Status is the last status that the instance reported.
	Status Status
	// Asked is the time at which Status was requested.
	Asked time.Time
	// Heard is the time at which the last response was received.
	Heard time.Time
	// Known reports whether the instance has ever responded.
	Known bool
}

// reachable reports whether the instance responded within reachableTimeout.
func (i *Instance) reachable(now time.Time) bool {
	return i.Known && now.Sub(i.Heard) <= reachableTimeout
}

// contains reports whether the log of i, a primary, has reached the term of p and
// contains the entry at p.
func (i *Instance) contains(p Position) bool {
	return p.Term <= i.Status.History.Term() && i.Status.History.Survives(p)
}
