package pooler

// Handover is the progress of a VM that releases a pool to another VM.
type Handover struct {
	// Released reports that the VM has released the pool and all connections.
	Released bool
	// Uses lists the connections that are still in use, by instance.
	Uses []Use
}
