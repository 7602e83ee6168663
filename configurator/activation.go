package configurator

import (
	"fmt"
	"time"
)

// ActivationPrefix is the key prefix of the Activation records in the store.
const ActivationPrefix = "in-force/"

// Activation records when a generation was in force on all VMs of a cell, the group
// of VMs that share a coordinator.
type Activation struct {
	// Generation is the generation in force.
	Generation uint64 `json:"generation"`
	// At is the wall-clock time at which it was in force on all VMs.
	At time.Time `json:"at"`
	// VMs is the number of VMs in the cell.
	VMs int `json:"vms"`
}

// ActivationKey returns the store key of the Activation record of a generation.
func ActivationKey(generation uint64) string {
	return fmt.Sprintf("%s%012d", ActivationPrefix, generation)
}

// MinGeneration returns the lowest generation in force on any VM, or zero without VMs.
func (s CellStatus) MinGeneration() uint64 {
	var least uint64
	for i, m := range s.Members {
		if i == 0 || m.Generation < least {
			least = m.Generation
		}
	}
	return least
}

// CountAtLeast returns the number of VMs on which a generation, or a later one, is in
// force.
func (s CellStatus) CountAtLeast(generation uint64) int {
	n := 0
	for _, m := range s.Members {
		if m.Generation >= generation {
			n++
		}
	}
	return n
}
