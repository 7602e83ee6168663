package promoter

import "time"

// Config holds the timeouts and delays of a Promoter.
type Config struct {
	// SuspectAfter is the time without a response after which a primary may be replaced.
	SuspectAfter time.Duration
	// ObserveTimeout bounds the wait for the observers. It is the last part of SuspectAfter.
	ObserveTimeout time.Duration
	// RaiseTimeout bounds the wait for a majority to follow a new term.
	RaiseTimeout time.Duration
	// Grace is the additional wait, once a majority follows the new term, for the
	// other instances that were reachable. While a leaving primary is drained, it is
	// the time after the pause of writes from which responses are used.
	Grace time.Duration
	// PromoteTimeout bounds the wait for the chosen instance to be promoted.
	PromoteTimeout time.Duration
	// Backoff is the delay after a failed attempt or a dismissed suspicion.
	Backoff time.Duration
	// SwitchoverTimeout bounds the wait for a replica to catch up with a leaving primary.
	SwitchoverTimeout time.Duration
}

// DefaultConfig returns the values used where the settings specify none.
func DefaultConfig() Config {
	return Config{
		SuspectAfter:      600 * time.Millisecond,
		ObserveTimeout:    150 * time.Millisecond,
		RaiseTimeout:      500 * time.Millisecond,
		Grace:             40 * time.Millisecond,
		PromoteTimeout:    500 * time.Millisecond,
		Backoff:           200 * time.Millisecond,
		SwitchoverTimeout: 2 * time.Second,
	}
}
