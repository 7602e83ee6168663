package promoter

import "time"

// Config holds the times of a Promoter.
type Config struct {
	// SuspectAfter is the silence of a primary after which it may be replaced.
	SuspectAfter time.Duration
	// ObserveFor is the time given to the observers, the last part of SuspectAfter.
	ObserveFor time.Duration
	// RaiseFor is the time given to a majority to follow a new term.
	RaiseFor time.Duration
	// Grace is the wait, after a majority follows, for the instances that were reachable.
	Grace time.Duration
	// PromoteFor is the time given to the chosen instance.
	PromoteFor time.Duration
	// Backoff is the wait after an attempt that failed or a suspicion that was refuted.
	Backoff time.Duration
	// SwitchOverFor bounds the wait for a replica to catch up with a leaving primary.
	SwitchOverFor time.Duration
}

// DefaultConfig returns the times used where settings give none.
func DefaultConfig() Config {
	return Config{
		SuspectAfter:  600 * time.Millisecond,
		ObserveFor:    150 * time.Millisecond,
		RaiseFor:      500 * time.Millisecond,
		Grace:         40 * time.Millisecond,
		PromoteFor:    500 * time.Millisecond,
		Backoff:       200 * time.Millisecond,
		SwitchOverFor: 2 * time.Second,
	}
}
