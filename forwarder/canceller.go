package forwarder

import (
	"context"
)

// Canceller interrupts the statements of clients connected to this VM.
type Canceller interface {
	// Cancel interrupts the statement of a client and reports whether the client
	// was found.
	Cancel(ctx context.Context, process, secret uint32) bool
}
