package pooler

// HandoverStatus is the progress of a VM that releases a pool to another VM.
type HandoverStatus struct {
	// Released reports that the VM has released the pool and all connections.
	Released bool
	// InUse lists the connections that are still in use, by instance.
	InUse []ConnectionUse
}
