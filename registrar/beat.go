package registrar

import "time"

// Beat is a heartbeat.
type Beat struct {
	// Member is the sender.
	Member Member
	// Changes are accepted changes that the receiver may lack.
	Changes [][]byte
	// Snapshot is a whole configuration, where changes do not suffice.
	Snapshot []byte
	// RosterVersion is the version of the roster that the sender has.
	RosterVersion uint64
	// Coordinator identifies the view that it came from.
	Coordinator uint64
	// Relayed are VMs that reach the sender and not the coordinator.
	Relayed []Member
	// Suspects are VMs that do not answer the sender.
	Suspects []string
	// StoreSilence is the time since the sender, or one that told it, last spoke to the platform's store.
	StoreSilence time.Duration
}

// Answer is the answer to a heartbeat.
type Answer struct {
	// Roster is the roster at hand, or the members that changed since the one that the sender has.
	Roster Roster
	// Difference reports that Roster holds the changed members only.
	Difference bool
	// Gone are the members that went since.
	Gone []string
	// Coordinator identifies the coordinator's view, to which versions of the roster belong.
	Coordinator uint64
	// CoordinatorID names the VM that coordinates.
	CoordinatorID string
	// Generation is the generation in force at the coordinator.
	Generation uint64
	// Snapshot is a whole configuration, where changes do not suffice.
	Snapshot []byte
	// Changes are accepted changes that the sender lacks.
	Changes [][]byte
	// StoreSilence is the time since anybody of the cell last spoke to the platform's store.
	StoreSilence time.Duration
}
