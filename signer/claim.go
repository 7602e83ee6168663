package signer

import (
	"time"

	"github.com/marigoldgauge/marigoldgauge/tracker"
)

// Claim is what a session token says.
type Claim struct {
	// Organisation is the organisation of the session.
	Organisation string `json:"organisation"`
	// Group is the database group to which the position belongs.
	Group string `json:"group"`
	// Position is the position that the session must see.
	Position tracker.Position `json:"position"`
	// Unknown reports whether the session had a write whose outcome is unknown.
	Unknown bool `json:"unknown,omitempty"`
	// Issued is the wall-clock time of issue; it only bounds the age of a token.
	Issued time.Time `json:"issued"`
}
