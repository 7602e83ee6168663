package governor

import (
	"fmt"
	"time"
)

// InForcePrefix is the key prefix of the InForce records in the store.
const InForcePrefix = "in-force/"

// InForce records when a generation was in force on all VMs of a cell, the group
// of VMs that share a coordinator.
type InForce struct {
	// Generation is the generation in force.
	Generation uint64 `json:"generation"`
	// At is the wall-clock time at which it was in force on all VMs.
	At time.Time `json:"at"`
	// VMs is the number of VMs in the cell.
	VMs int `json:"vms"`
}

// InForceKey returns the store key of the InForce record of a generation.
func InForceKey(generation uint64) string {
	return fmt.Sprintf("%s%012d", InForcePrefix, generation)
}

// Least returns the lowest generation in force on any VM, or zero without VMs.
func (s Status) Least() uint64 {
	var least uint64
	for i, m := range s.Members {
		if i == 0 || m.Generation < least {
			least = m.Generation
		}
	}
	return least
}

// Reached returns the number of VMs on which a generation, or a later one, is in
// force.
func (s Status) Reached(generation uint64) int {
	n := 0
	for _, m := range s.Members {
		if m.Generation >= generation {
			n++
		}
	}
	return n
}
