package registrar

// Beat is a heartbeat.
type Beat struct {
	// Member is the sender.
	Member Member
	// Changes are accepted changes that the receiver may lack.
	Changes [][]byte
	// Suspects are VMs that do not answer the sender.
	Suspects []string
	// StoreReachable reports that the sender lately spoke to the platform's store.
	StoreReachable bool
}

// Answer is the answer to a heartbeat.
type Answer struct {
	// Roster is the roster at hand.
	Roster Roster
	// Generation is the generation in force at the coordinator.
	Generation uint64
	// Snapshot is a whole configuration, where changes do not suffice.
	Snapshot []byte
	// Changes are accepted changes that the sender lacks.
	Changes [][]byte
	// StoreReachable reports that the cell lately spoke to the platform's store.
	StoreReachable bool
}
