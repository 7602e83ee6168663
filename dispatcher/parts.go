package dispatcher

import (
	"context"
	"time"

	"github.com/marigoldgauge/marigoldgauge/clocker"
	"github.com/marigoldgauge/marigoldgauge/connector"
	"github.com/marigoldgauge/marigoldgauge/observer"
	"github.com/marigoldgauge/marigoldgauge/phraser"
	"github.com/marigoldgauge/marigoldgauge/sharer"
)

// Parts are what a Dispatcher is built from.
type Parts struct {
	// Observer knows the instances.
	Observer *observer.Observer
	// Sharer holds organisations to their rates.
	Sharer *sharer.Sharer
	// Borrower finds tokens that other VMs lend.
	Borrower Borrower
	// Elsewhere lets VMs that hold connections run units of work; nil lets none.
	Elsewhere Elsewhere
	// Dialer opens connections.
	Dialer connector.Dialer
	// Clock tells the present time.
	Clock clocker.Clock
	// Journal takes the decisions that touch a request.
	Journal Journal
	// Measurer counts what became of requests.
	Measurer Measurer
}

// Measurer counts what became of requests.
type Measurer interface {
	// Request counts a request of a kind of route that ended with a result.
	Request(route, result string, took time.Duration)
	// Part measures a part of a request.
	Part(part string, took time.Duration)
}

// Borrower finds tokens that other VMs lend.
type Borrower interface {
	// Borrow takes a token for one operation, which must wait for it. Without
	// one, wait tells when to come back.
	Borrow(ctx context.Context, organisation string, longest time.Duration) (wait time.Duration, ok bool)
}

// Elsewhere lets other VMs run units of work that were admitted here.
type Elsewhere interface {
	// Run runs a single statement; ok is false when it certainly did not run, or
	// only reads.
	Run(ctx context.Context, u Unit) (a phraser.Answer, ok bool)
	// Open begins a transaction; ok is false when this VM should.
	Open(ctx context.Context, u Unit) (t Transaction, a phraser.Answer, ok bool)
}
