package pooler

import "github.com/marigoldgauge/marigoldgauge/allocator"

// ShareReply is the answer to a ShareRequest.
type ShareReply struct {
	// Organisation is the organisation concerned.
	Organisation string
	allocator.Reply
}
