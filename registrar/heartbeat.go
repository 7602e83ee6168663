package registrar

import "time"

// Beat is a heartbeat.
type Beat struct {
	// Member is the sender.
	Member Member
	// Changes are accepted configuration changes that the receiver may lack.
	Changes [][]byte
	// Snapshot is a full configuration, sent if Changes alone do not suffice.
	Snapshot []byte
	// RosterVersion is the version of the sender's roster.
	RosterVersion uint64
	// Coordinator identifies the coordinator's view that the sender's roster came from.
	Coordinator uint64
	// Relayed are VMs that can reach the sender but not the coordinator.
	Relayed []Member
	// Suspects are VMs that do not respond to the sender.
	Suspects []string
	// StoreSilence is the time since the last known contact with the platform's store,
	// by the sender or by a VM that reported it to the sender.
	StoreSilence time.Duration
}

// Answer is the response to a heartbeat.
type Answer struct {
	// Roster is the current roster, or only the members that have changed since the
	// sender's version.
	Roster Roster
	// Difference reports that Roster holds only the changed members.
	Difference bool
	// Gone are the members that were removed since the sender's version.
	Gone []string
	// Coordinator identifies the coordinator's view; roster versions are comparable
	// only within one view.
	Coordinator uint64
	// CoordinatorID is the ID of the coordinator.
	CoordinatorID string
	// Generation is the configuration generation in force at the coordinator.
	Generation uint64
	// Snapshot is a full configuration, sent if Changes alone do not suffice.
	Snapshot []byte
	// Changes are accepted configuration changes that the sender lacks.
	Changes [][]byte
	// StoreSilence is the time since any VM of the cell was last in contact with the
	// platform's store.
	StoreSilence time.Duration
}
