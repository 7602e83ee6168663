package pooler

import (
	"time"

	"github.com/marigoldgauge/marigoldgauge/tracker"
)

// WorkSpec describes a unit of work: one batch or one transaction.
type WorkSpec struct {
	// Group is the database group.
	Group string
	// Organisation is the organisation that the work belongs to.
	Organisation string
	// Key is the identifier of the client's key, as of a generation of the configuration; empty on
	// open routes.
	Key        string
	Generation uint64
	// MinPosition is the minimum position that the session must see.
	MinPosition tracker.Position
	// PositionUnknown reports that the session's position is unknown, so reads go to the primary.
	PositionUnknown bool
	// ReadOnly reports that a replica may serve the work.
	ReadOnly bool
	// Relayed reports that the work was forwarded by an intermediate VM, which is
	// neither the client's VM nor the owner.
	Relayed bool
	// Timeout bounds the wait for the work to start.
	Timeout time.Duration
}
