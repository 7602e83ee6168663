package pooler

// Handover is what a VM that lets go of a pool still uses.
type Handover struct {
	// Released reports that the VM uses nothing any more.
	Released bool
	// Uses are the connections still in use.
	Uses []Use
}
