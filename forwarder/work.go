package forwarder

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/marigoldgauge/marigoldgauge/coder"
	"github.com/marigoldgauge/marigoldgauge/pooler"
)

const (
	// initialBackoff is the wait before the first retry.
	initialBackoff = 10 * time.Millisecond
	// maxBackoff is the maximum wait before a retry.
	maxBackoff = 160 * time.Millisecond
)

// Work is a unit of work on whichever VM owns the pool.
type Work struct {
	router *Router
	ask    pooler.WorkSpec

	mu            sync.Mutex
	unit          unit
	inTransaction bool
}

// Exchange runs one batch. A batch that certainly did not run is retried until
// the timeout of the request. A read that failed before any part of its response
// was forwarded is retried as well.
func (w *Work) Exchange(ctx context.Context, b *pooler.Batch, sink pooler.Sink) (pooler.Result, error) {
	if w.inTransaction {
		return w.tryExchange(ctx, b, sink)
	}
	deadline := w.router.clock.Now().Add(w.ask.Timeout)
	backoff := initialBackoff
	for {
		tracked := &trackingSink{sink: sink}
		r, err := w.tryExchange(ctx, b, tracked)
		if err == nil || tracked.forwarded || !w.prepareRetry(b, err) {
			return r, err
		}
		now := w.router.clock.Now()
		if now.Add(backoff).After(deadline) || !w.router.budgets.Spend(now, w.ask.Organisation) {
			return r, withRetryAfter(err)
		}
		if !sleep(ctx, backoff) {
			return r, withRetryAfter(err)
		}
		backoff = min(2*backoff, maxBackoff)
		w.ask.Timeout = deadline.Sub(w.router.clock.Now())
	}
}

// withRetryAfter returns the error of the last attempt. An error that says that
// the batch did not run gets a time to retry after, if it has none.
func withRetryAfter(err error) error {
	e := coder.From(err)
	if e.Outcome == coder.NotRun && e.RetryAfter == 0 {
		return e.WithRetryAfter(maxBackoff)
	}
	return e
}

// prepareRetry reports whether a failed batch may be retried. It moves a read that
// a replica refused to the primary.
func (w *Work) prepareRetry(b *pooler.Batch, err error) bool {
	e := coder.From(err)
	switch e.Code {
	case coder.ReplicaRefused:
		w.ask.ReadOnly = false
		return true
	case coder.OwnerMoved, coder.OwnerUnavailable, coder.ConnectFailed, coder.ReadOutdated:
		return e.Outcome == coder.NotRun
	case coder.OutcomeUnknown:
		return w.ask.ReadOnly && !b.Writes
	default:
		return false
	}
}

// sleep waits for a duration and reports false if ctx ended before.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// tryExchange runs a batch once on the current owner, and marks an owner that cannot
// be reached as unresponsive.
func (w *Work) tryExchange(ctx context.Context, b *pooler.Batch, sink pooler.Sink) (pooler.Result, error) {
	owner := ""
	if w.unit == nil {
		u, id, err := w.router.openUnit(w.ask)
		if err != nil {
			return pooler.Result{}, err
		}
		owner = id
		w.setUnit(u)
	}
	r, err := w.unit.Exchange(ctx, b, sink)
	if err != nil {
		var u unreachableError
		if errors.As(err, &u) && owner != "" && ctx.Err() == nil {
			w.router.membership.Suspect(owner)
		}
		w.Close()
		return r, toCodedError(err)
	}
	w.inTransaction = r.TransactionStatus != 'I'
	if !w.inTransaction {
		w.Close()
	}
	return r, nil
}

// toCodedError returns a coded error for an error of another VM or of the
// connection to it.
func toCodedError(err error) error {
	var u unreachableError
	if errors.As(err, &u) {
		return coder.New(coder.OwnerUnavailable, "the owner of the pool cannot be reached")
	}
	var coded *coder.Error
	if errors.As(err, &coded) {
		return err
	}
	return coder.NewUnknown(coder.OutcomeUnknown, "the owner of the pool broke off")
}

// setUnit sets the unit of work on the current owner.
func (w *Work) setUnit(u unit) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.unit = u
}

// Close releases the unit of work. An open transaction is rolled back.
func (w *Work) Close() {
	w.mu.Lock()
	u := w.unit
	w.unit = nil
	w.mu.Unlock()
	w.inTransaction = false
	if u != nil {
		u.Close()
	}
}

// Cancel interrupts the running batch.
func (w *Work) Cancel(ctx context.Context) error {
	w.mu.Lock()
	u := w.unit
	w.mu.Unlock()
	if u == nil {
		return nil
	}
	return u.Cancel(ctx)
}

// trackingSink is a Sink that records whether any frames were forwarded.
type trackingSink struct {
	sink      pooler.Sink
	forwarded bool
}

// WriteFrames forwards frames to the underlying sink.
func (c *trackingSink) WriteFrames(raw []byte) error {
	c.forwarded = c.forwarded || len(raw) > 0
	return c.sink.WriteFrames(raw)
}
