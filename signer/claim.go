package signer

import (
	"time"

	"github.com/marigoldgauge/marigoldgauge/tracker"
)

// Claim is the payload of a session token.
type Claim struct {
	// Organisation is the organisation of the session.
	Organisation string `json:"organisation"`
	// Group is the database group that Position refers to.
	Group string `json:"group"`
	// Position is the log position that reads of the session must include.
	Position tracker.Position `json:"position"`
	// Unknown reports whether the session has a write whose outcome is unknown.
	Unknown bool `json:"unknown,omitempty"`
	// Issued is the wall-clock time of issue. It is used for the expiry of a token only.
	Issued time.Time `json:"issued"`
}
