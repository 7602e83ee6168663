package pooler

import (
	"time"

	"github.com/marigoldgauge/marigoldgauge/tracker"
)

// Ask describes a unit of work: one batch or one transaction.
type Ask struct {
	// Group is the database group.
	Group string
	// Organisation is the organisation that the work belongs to.
	Organisation string
	// Required is the minimum position that the session must see.
	Required tracker.Position
	// Unknown reports that the session's position is unknown, so reads go to the primary.
	Unknown bool
	// ReadOnly reports that a replica may serve the work.
	ReadOnly bool
	// Relayed reports that the work was forwarded by an intermediate VM, which is
	// neither the client's VM nor the owner.
	Relayed bool
	// Timeout bounds the wait for the work to start.
	Timeout time.Duration
}
