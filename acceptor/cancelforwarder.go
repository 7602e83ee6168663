package acceptor

import (
	"context"
)

// CancelForwarder forwards cancel requests to the VM that issued the process ID.
type CancelForwarder interface {
	// ForwardCancel forwards a cancel request.
	ForwardCancel(ctx context.Context, process, secret uint32)
}
