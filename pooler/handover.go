package pooler

import "github.com/marigoldgauge/marigoldgauge/allotter"

// Handover is what a VM that lets go of a pool still uses.
type Handover struct {
	// Released reports that the VM uses nothing any more.
	Released bool
	// Uses are the connections still in use.
	Uses []Use
}

// Use is the number of connections to one instance.
type Use struct {
	// Instance names the instance.
	Instance string
	// Connections is the number of connections in use.
	Connections int
}

// ShareRequest is a request for a fraction of an organisation's rate.
type ShareRequest struct {
	// Organisation is the organisation concerned.
	Organisation string
	allotter.Request
}

// ShareReply is the answer to a ShareRequest.
type ShareReply struct {
	// Organisation is the organisation concerned.
	Organisation string
	allotter.Reply
}
