package dispatcher

import "github.com/marigoldgauge/marigoldgauge/journaler"

// Journal logs the decisions that affect requests.
type Journal interface {
	// Request logs a decision about the request with an id.
	Request(decision, id string, fields ...journaler.Field)
	// Belief logs a decision that changes what the process knows about the instances.
	Belief(decision string, fields ...journaler.Field)
}
