package acceptor

import (
	"context"

	"github.com/marigoldgauge/marigoldgauge/pooler"
)

// Work is a unit of work: a single batch, or a transaction.
type Work interface {
	// Exchange runs one batch and forwards its response to the sink.
	Exchange(ctx context.Context, b *pooler.Batch, sink pooler.Sink) (pooler.Result, error)
	// Close releases the unit of work. An open transaction is rolled back.
	Close()
	// Cancel interrupts the running batch.
	Cancel(ctx context.Context) error
}
