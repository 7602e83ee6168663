package storefaker

import "time"

// Faults are the switches of the stand-in.
type Faults struct {
	// Down makes every call fail.
	Down bool
	// Delay slows every call.
	Delay time.Duration
	// LoseAnswers takes effect on the next writes and then drops their answers.
	LoseAnswers int
	// LateEffect delays the effect of writes.
	LateEffect time.Duration
}
