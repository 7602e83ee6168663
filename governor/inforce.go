package governor

import (
	"fmt"
	"time"
)

// InForcePrefix is the prefix of the notes that a generation is in force everywhere.
const InForcePrefix = "in-force/"

// InForce notes when a generation was in force on all VMs of a cell.
type InForce struct {
	// Generation is the generation.
	Generation uint64 `json:"generation"`
	// At is the wall-clock time.
	At time.Time `json:"at"`
	// VMs is the number of VMs.
	VMs int `json:"vms"`
}

// InForceKey returns the key of the note about a generation.
func InForceKey(generation uint64) string {
	return fmt.Sprintf("%s%012d", InForcePrefix, generation)
}

// Least returns the lowest generation in force on any VM.
func (s Status) Least() uint64 {
	var least uint64
	for i, m := range s.Members {
		if i == 0 || m.Generation < least {
			least = m.Generation
		}
	}
	return least
}

// Reached counts the VMs on which a generation is in force.
func (s Status) Reached(generation uint64) int {
	n := 0
	for _, m := range s.Members {
		if m.Generation >= generation {
			n++
		}
	}
	return n
}
