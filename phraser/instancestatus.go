package phraser

import (
	"time"

	"github.com/marigoldgauge/marigoldgauge/tracker"
)

// InstanceStatus is what an instance says of itself.
type InstanceStatus struct {
	// Leads reports that the instance takes itself for the primary.
	Leads bool
	// Term is the term that the instance follows.
	Term uint64
	// Received is the position up to which the instance has received the log.
	Received tracker.Position
	// PausedFor is the term for which the instance was paused, or 0.
	PausedFor uint64
	// Lag is how far the instance takes itself to be behind.
	Lag time.Duration
	// Busy is the number of slots in use.
	Busy int
	// Connections is the number of connections from all VMs.
	Connections int
}
