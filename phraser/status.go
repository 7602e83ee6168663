package phraser

import (
	"time"

	"github.com/marigoldgauge/marigoldgauge/tracker"
)

// InstanceStatus is the status that an instance reports.
type InstanceStatus struct {
	// Leads reports whether the instance considers itself the primary.
	Leads bool
	// Term is the current term of the instance.
	Term uint64
	// Received is the log position up to which the instance has received entries.
	Received tracker.Position
	// PausedFor is the term for which replication is paused, or 0.
	PausedFor uint64
	// Lag is the replication lag that the instance estimates.
	Lag time.Duration
	// Busy is the number of execution slots in use.
	Busy int
	// Connections is the number of open connections from all VMs.
	Connections int
}
