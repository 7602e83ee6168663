package pooler

import (
	"time"

	"github.com/marigoldgauge/marigoldgauge/tracker"
)

// Ask describes a unit of work: one batch, or one transaction.
type Ask struct {
	// Group is the database group.
	Group string
	// Organisation is the organisation for which the work runs.
	Organisation string
	// Required is the position that the session must see.
	Required tracker.Position
	// Unknown reports that the session's position is not known: reads go to the primary.
	Unknown bool
	// ReadOnly reports that a replica may serve the work.
	ReadOnly bool
	// Relayed reports that the ask came through a VM that is neither the caller's nor the owner.
	Relayed bool
	// Timeout bounds the wait before the work starts.
	Timeout time.Duration
}
