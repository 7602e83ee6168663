package endpointfaker

import "time"

// Faults are the switches of one instance.
type Faults struct {
	// Paused stops the instance: it answers nothing until it is resumed.
	Paused bool
	// Slow is added to the service time of every statement.
	Slow time.Duration
	// LateAnswer delays every answer after its effect.
	LateAnswer time.Duration
	// LoseAnswers breaks the connection off after the effect of the next writes.
	LoseAnswers int
	// Leaving makes the instance ask for no new work.
	Leaving bool
}
