package decider

import "time"

// Verdict tells what becomes of a unit of work.
type Verdict uint8

// The verdicts.
const (
	// Proceed lets it run.
	Proceed Verdict = iota
	// Wait lets it wait for an event.
	Wait
	// Refuse refuses it; it has not run.
	Refuse
)

// Decision is a verdict with what goes with it.
type Decision struct {
	// Verdict tells what becomes of the unit.
	Verdict Verdict
	// Reason tells why it does not run.
	Reason string
	// Until is when a waiting unit is looked at again without an event.
	Until time.Time
	// RetryAfter is when a refused caller should come back.
	RetryAfter time.Duration
}
