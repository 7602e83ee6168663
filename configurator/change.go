package configurator

import "time"

// Change is a proposed or accepted change of the configuration. An accepted
// change creates one generation.
type Change struct {
	// ID identifies the proposal.
	ID string `json:"id"`
	// Base is the generation that was current when the change was proposed.
	Base uint64 `json:"base"`
	// Generation is the generation that the change created; zero until accepted.
	Generation uint64 `json:"generation,omitempty"`
	// Proposer is the operator who proposed the change.
	Proposer string `json:"proposer"`
	// Accepter is the operator who accepted the change.
	Accepter string `json:"accepter,omitempty"`
	// Reason is the operator's reason for the change.
	Reason string `json:"reason,omitempty"`
	// Proposed is the wall-clock time of the proposal.
	Proposed time.Time `json:"proposed"`
	// Accepted is the wall-clock time of the acceptance.
	Accepted time.Time `json:"accepted,omitzero"`
	// Edits are applied in order.
	Edits []Edit `json:"edits"`
}
