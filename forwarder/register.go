package forwarder

import (
	"github.com/marigoldgauge/marigoldgauge/registrar"
)

// Register is the roster, as the forwarder needs it.
type Register interface {
	// Roster returns the roster at hand.
	Roster() registrar.Roster
	// Suspect passes a VM over for a while.
	Suspect(id string)
	// IsSuspected reports whether a VM lately did not answer.
	IsSuspected(id string) bool
}
