package pooler

import "github.com/marigoldgauge/marigoldgauge/allocator"

// ShareReply is the reply to a ShareRequest.
type ShareReply struct {
	// Organisation is the organisation whose rate is shared.
	Organisation string
	allocator.Reply
}
