package explainer

import "time"

// Event is a consequential decision with what it was based on.
type Event struct {
	// At is the time of the decision.
	At time.Time `json:"at"`
	// Kind names the decision, such as promotion or refusal.
	Kind string `json:"kind"`
	// Subject is what the decision is about, such as a group or an organisation.
	Subject string `json:"subject"`
	// Reason tells why.
	Reason string `json:"reason"`
	// Epoch is the term, pool epoch or generation in which it was made.
	Epoch uint64 `json:"epoch"`
	// Inputs are what the decision saw.
	Inputs []Input `json:"inputs,omitempty"`
	// Count is the number of equal decisions that this event stands for.
	Count uint64 `json:"count"`
}
