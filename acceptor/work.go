package acceptor

import (
	"context"

	"github.com/marigoldgauge/marigoldgauge/governor"
	"github.com/marigoldgauge/marigoldgauge/pooler"
)

// Work is a unit of work: one batch, or one transaction.
type Work interface {
	// Exchange runs one batch and passes its answer on.
	Exchange(ctx context.Context, b *pooler.Batch, sink pooler.Sink) (pooler.Result, error)
	// Close lets go of the unit; an open transaction is rolled back.
	Close()
	// Cancel interrupts the running batch.
	Cancel(ctx context.Context) error
}

// Opener opens units of work.
type Opener interface {
	// Open returns a unit of work, which starts with its first batch.
	Open(a pooler.Ask) Work
}

// Configuration gives the configuration in force.
type Configuration interface {
	// Index returns the configuration in force.
	Index() *governor.Index
	// Changed returns a channel that is closed when the next generation is in force.
	Changed() <-chan struct{}
}

// CancelForwarder passes cancel requests on to the VM that issued the process number.
type CancelForwarder interface {
	// ForwardCancel passes a cancel request on.
	ForwardCancel(ctx context.Context, process, secret uint32)
}
