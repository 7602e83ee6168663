package dispatcher

import (
	"context"
	"time"

	"github.com/marigoldgauge/marigoldgauge/connector"
	"github.com/marigoldgauge/marigoldgauge/modeller"
	"github.com/marigoldgauge/marigoldgauge/observer"
	"github.com/marigoldgauge/marigoldgauge/throttler"
	"github.com/marigoldgauge/marigoldgauge/timekeeper"
)

// Dependencies are the dependencies of a Dispatcher.
type Dependencies struct {
	// Observer tracks the state of the instances.
	Observer *observer.Observer
	// Throttler enforces the rate limits of organisations.
	Throttler *throttler.Throttler
	// Borrower borrows rate tokens from other VMs.
	Borrower Borrower
	// Remote runs units of work on VMs that hold connections; nil runs all of them
	// locally.
	Remote RemoteRunner
	// Shares divides the connections to instances among the VMs.
	Shares Shares
	// Dialer opens connections to instances.
	Dialer connector.Dialer
	// Clock returns the current time.
	Clock timekeeper.Clock
	// Journal logs the decisions that affect requests.
	Journal Journal
	// Measurer measures requests.
	Measurer Measurer
}

// Measurer measures the outcomes and the times of requests.
type Measurer interface {
	// Request records the result and the duration of a request by the kind of its route.
	Request(route, result string, took time.Duration)
	// Part records the duration of a part of a request.
	Part(part string, took time.Duration)
}

// Borrower borrows rate tokens from other VMs.
type Borrower interface {
	// Borrow takes a token for one operation, which must wait for the given time. If
	// ok is false, wait is the delay after which to retry.
	Borrow(ctx context.Context, organisation string, maxWait time.Duration) (wait time.Duration, ok bool)
}

// Shares divides the connections to instances among the VMs.
type Shares interface {
	// Share returns the number of connections to an instance of a group that are reserved
	// for this VM.
	Share(now time.Time, group string) float64
}

// RemoteRunner runs units of work that this VM admitted on other VMs.
type RemoteRunner interface {
	// Run runs a single statement; ok is false if this VM may run it, because it
	// certainly did not run or only reads.
	Run(ctx context.Context, u Unit) (a modeller.Response, ok bool)
	// Open begins a transaction; ok is false if this VM must begin it.
	Open(ctx context.Context, u Unit) (t Transaction, a modeller.Response, ok bool)
}
