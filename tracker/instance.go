package tracker

import "time"

// Instance is what a Group knows of one instance.
type Instance struct {
	// ID names the instance.
	ID string
	// Status is the last status that the instance gave.
	Status Status
	// Asked is the time at which that status was asked for.
	Asked time.Time
	// Heard is the time at which the last answer came.
	Heard time.Time
	// Known reports whether the instance ever answered.
	Known bool
}

// reachable reports whether the instance answered lately.
func (i *Instance) reachable(now time.Time) bool {
	return i.Known && now.Sub(i.Heard) <= reachableFor
}

// holds reports whether the log of the primary knows the term of p and kept the entry at p.
func (i *Instance) holds(p Position) bool {
	return p.Term <= i.Status.History.Term() && i.Status.History.Survives(p)
}
