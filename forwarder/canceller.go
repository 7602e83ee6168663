package forwarder

import (
	"context"
)

// Canceller interrupts the statements of callers connected to this VM.
type Canceller interface {
	// Cancel interrupts the statement of a caller and reports whether it was found.
	Cancel(ctx context.Context, process, secret uint32) bool
}
