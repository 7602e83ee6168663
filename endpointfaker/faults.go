package endpointfaker

import "time"

// Faults configures the faults injected into one instance.
type Faults struct {
	// Paused stops the instance from responding until it is resumed.
	Paused bool
	// Slow is added to the service time of every statement.
	Slow time.Duration
	// LateAnswer delays every response after the statement has taken effect.
	LateAnswer time.Duration
	// LoseAnswers is the number of next writes that take effect but whose
	// connection is closed without a response.
	LoseAnswers int
	// Leaving makes the instance report in its status that it takes no new work.
	Leaving bool
}
