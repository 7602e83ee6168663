package cataloguer

// Group is a group of database instances with one primary.
type Group struct {
	// Name names the group.
	Name string
	// Connections is the most connections that one instance takes from all VMs.
	Connections int
	// SyncReplicas is the number of replicas that hold a commit before it is acknowledged.
	SyncReplicas int
}
