package storefaker

import "time"

// Faults configures the faults injected into the fake store.
type Faults struct {
	// Down makes every call fail with status 503.
	Down bool
	// Delay is added to every call.
	Delay time.Duration
	// DroppedResponses is the number of next writes that are processed but whose
	// responses are dropped.
	DroppedResponses int
	// WriteDelay is the delay before a write takes effect.
	WriteDelay time.Duration
}
