package dispatcher

import "github.com/marigoldgauge/marigoldgauge/journaler"

// Journal logs the decisions that affect requests.
type Journal interface {
	// Request logs a decision about the request with an id.
	Request(decision, id string, fields ...journaler.Field)
	// LogStateChange logs a decision that changes what the process knows about the instances.
	LogStateChange(decision string, fields ...journaler.Field)
}
