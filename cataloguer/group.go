package cataloguer

// Group is a group of database instances with one primary.
type Group struct {
	// Name is the unique name of the group.
	Name string
	// MaxConnections is the maximum number of connections that one instance accepts from
	// all VMs together.
	MaxConnections int
	// SyncReplicas is the number of replicas that must have a commit before it is
	// acknowledged.
	SyncReplicas int
}
