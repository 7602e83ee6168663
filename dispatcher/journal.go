package dispatcher

import "github.com/marigoldgauge/marigoldgauge/journaler"

// Journal takes the decisions that touch a request.
type Journal interface {
	// Request records a decision about the request id.
	Request(decision, id string, fields ...journaler.Field)
	// Belief records a decision that changes what the process takes for true.
	Belief(decision string, fields ...journaler.Field)
}
