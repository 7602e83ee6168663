package endpointfaker

import "time"

// Faults configures the faults injected into one instance.
type Faults struct {
	// Paused stops the instance from responding until it is resumed.
	Paused bool
	// ExtraServiceTime is added to the service time of every statement.
	ExtraServiceTime time.Duration
	// ResponseDelay delays every response after the statement has taken effect.
	ResponseDelay time.Duration
	// DroppedResponses is the number of next writes that take effect but whose
	// connection is closed without a response.
	DroppedResponses int
	// Leaving makes the instance report in its status that it takes no new work.
	Leaving bool
}
