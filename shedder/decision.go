package shedder

import "time"

// Verdict is the outcome of a decision on a unit of work.
type Verdict uint8

// The verdicts on a unit of work.
const (
	// Proceed lets the unit run.
	Proceed Verdict = iota
	// Wait lets the unit wait for an event.
	Wait
	// Refuse refuses the unit, which has not run.
	Refuse
)

// Decision is a verdict with its reason and times.
type Decision struct {
	// Verdict tells whether the unit runs, waits or is refused.
	Verdict Verdict
	// Reason tells why the unit does not run.
	Reason string
	// ReconsiderAt is the time at which a waiting unit is decided on again if no event
	// has occurred.
	ReconsiderAt time.Time
	// RetryAfter is the delay after which a refused caller should retry.
	RetryAfter time.Duration
}
