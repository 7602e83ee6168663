package acceptor

import (
	"context"
)

// CancelForwarder passes cancel requests on to the VM that issued the process number.
type CancelForwarder interface {
	// ForwardCancel passes a cancel request on.
	ForwardCancel(ctx context.Context, process, secret uint32)
}
