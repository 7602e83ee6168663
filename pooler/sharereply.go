package pooler

import "github.com/marigoldgauge/marigoldgauge/allotter"

// ShareReply is the reply to a ShareRequest.
type ShareReply struct {
	// Organisation is the organisation whose rate is shared.
	Organisation string
	allotter.Reply
}
