package governor

import "time"

// Change is a proposal and, once accepted, a generation of the configuration.
type Change struct {
	// ID identifies the proposal.
	ID string `json:"id"`
	// Base is the generation on which the proposal was made.
	Base uint64 `json:"base"`
	// Generation is the generation that the change created; zero until accepted.
	Generation uint64 `json:"generation,omitempty"`
	// Proposer is the operator who proposed.
	Proposer string `json:"proposer"`
	// Accepter is the operator who accepted.
	Accepter string `json:"accepter,omitempty"`
	// Reason tells why.
	Reason string `json:"reason,omitempty"`
	// Proposed is the wall-clock time of the proposal.
	Proposed time.Time `json:"proposed"`
	// Accepted is the wall-clock time of the acceptance.
	Accepted time.Time `json:"accepted,omitzero"`
	// Edits are the steps.
	Edits []Edit `json:"edits"`
}
