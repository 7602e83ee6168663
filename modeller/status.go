package modeller

import (
	"time"

	"github.com/marigoldgauge/marigoldgauge/tracker"
)

// InstanceStatus is the status that an instance reports.
type InstanceStatus struct {
	// IsPrimary reports whether the instance considers itself the primary.
	IsPrimary bool
	// Term is the current term of the instance.
	Term uint64
	// Received is the log position up to which the instance has received entries.
	Received tracker.Position
	// PausedTerm is the term for which replication is paused, or 0.
	PausedTerm uint64
	// Lag is the replication lag that the instance estimates.
	Lag time.Duration
	// BusySlots is the number of execution slots in use.
	BusySlots int
	// Connections is the number of open connections from all VMs.
	Connections int
}
