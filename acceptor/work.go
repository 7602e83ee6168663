package acceptor

import (
	"context"

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
