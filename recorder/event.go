package recorder

import "time"

// Event is a decision with the inputs on which it was based.
type Event struct {
	// At is the time of the decision.
	At time.Time `json:"at"`
	// Kind is the kind of decision, such as promotion or refusal.
	Kind string `json:"kind"`
	// Subject is the object of the decision, such as a group or an organisation.
	Subject string `json:"subject"`
	// Reason is the reason for the decision.
	Reason string `json:"reason"`
	// Epoch is the term, pool epoch or generation in which the decision was made.
	Epoch uint64 `json:"epoch"`
	// Inputs are the values on which the decision was based.
	Inputs []Input `json:"inputs,omitempty"`
	// Count is the number of equal decisions merged into this event.
	Count uint64 `json:"count"`
}
