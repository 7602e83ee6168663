package decider

import "time"

// Unit is a unit of work as far as it matters here.
type Unit struct {
	// Lacks is what it waits for.
	Lacks Lack
	// Deadline is when the time of its route is over.
	Deadline time.Time
	// Target is the time in which its caller wants the answer.
	Target time.Duration
}
