package pooler

import "github.com/marigoldgauge/marigoldgauge/allocator"

// ShareRequest is a request for a fraction of an organisation's rate.
type ShareRequest struct {
	// Organisation is the organisation whose rate is shared.
	Organisation string
	allocator.Request
}
