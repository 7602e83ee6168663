package dispatcher

import (
	"context"
	"time"

	"github.com/marigoldgauge/marigoldgauge/clocker"
	"github.com/marigoldgauge/marigoldgauge/connector"
	"github.com/marigoldgauge/marigoldgauge/observer"
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
