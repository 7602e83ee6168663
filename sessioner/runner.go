package sessioner

import (
	"context"

	"github.com/marigoldgauge/marigoldgauge/dispatcher"
	"github.com/marigoldgauge/marigoldgauge/modeller"
)

// Runner runs statements on instances.
type Runner interface {
	// Run runs a single statement outside a transaction.
	Run(ctx context.Context, u dispatcher.Unit) modeller.Response
	// Open begins a transaction; if the transaction is nil, the answer gives the
	// reason.
	Open(ctx context.Context, u dispatcher.Unit) (dispatcher.Transaction, modeller.Response)
}
