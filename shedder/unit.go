package shedder

import "time"

// Unit holds the properties of a unit of work that a decision depends on.
type Unit struct {
	// Blocker is the condition that keeps the unit from running.
	Blocker Blocker
	// Deadline is the time at which the timeout of its route expires.
	Deadline time.Time
	// Target is the target latency of its route.
	Target time.Duration
}
