package registrar

import "time"

// Heartbeat is a heartbeat.
type Heartbeat struct {
	// Member is the sender.
	Member Member
	// Changes are accepted configuration changes that the receiver may lack.
	Changes [][]byte
	// Snapshot is a full configuration, sent if Changes alone do not suffice.
	Snapshot []byte
	// RosterVersion is the version of the sender's roster.
	RosterVersion uint64
	// CoordinatorView identifies the coordinator's view that the sender's roster came from.
	CoordinatorView uint64
	// Relayed are VMs that can reach the sender but not the coordinator.
	Relayed []Member
	// Suspects are VMs that do not respond to the sender.
	Suspects []string
	// StoreContactAge is the time since the last known contact with the platform's store,
	// by the sender or by a VM that reported it to the sender.
	StoreContactAge time.Duration
}

// HeartbeatResponse is the response to a heartbeat.
type HeartbeatResponse struct {
	// Roster is the current roster, or only the members that have changed since the
	// sender's version.
	Roster Roster
	// Incremental reports that Roster holds only the changed members.
	Incremental bool
	// Removed are the members that were removed since the sender's version.
	Removed []string
	// CoordinatorView identifies the coordinator's view; roster versions are comparable
	// only within one view.
	CoordinatorView uint64
	// CoordinatorID is the ID of the coordinator.
	CoordinatorID string
	// Generation is the configuration generation in force at the coordinator.
	Generation uint64
	// Snapshot is a full configuration, sent if Changes alone do not suffice.
	Snapshot []byte
	// Changes are accepted configuration changes that the sender lacks.
	Changes [][]byte
	// StoreContactAge is the time since any VM of the cell was last in contact with the
	// platform's store.
	StoreContactAge time.Duration
}
