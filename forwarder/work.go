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
	// firstPause is the wait before the first repetition.
	firstPause = 10 * time.Millisecond
	// longestPause bounds the wait before a repetition.
	longestPause = 160 * time.Millisecond
)

// Work is a unit of work wherever its owner is.
type Work struct {
	router *Router
	ask    pooler.Ask

	mu   sync.Mutex
	unit unit
	open bool
}

// Exchange runs one batch. What certainly did not run is repeated until the
// ask's timeout, and a read that broke off before any part of its answer was
// passed on is repeated once more.
func (w *Work) Exchange(ctx context.Context, b *pooler.Batch, sink pooler.Sink) (pooler.Result, error) {
	if w.open {
		return w.once(ctx, b, sink)
	}
	deadline := w.router.clock.Now().Add(w.ask.Timeout)
	wait := firstPause
	for {
		counted := &counter{sink: sink}
		r, err := w.once(ctx, b, counted)
		if err == nil || counted.passed || !w.repeats(b, err) {
			return r, err
		}
		now := w.router.clock.Now()
		if now.Add(wait).After(deadline) || !w.router.budgets.Spend(now, w.ask.Organisation) {
			return r, final(err)
		}
		if !sleep(ctx, wait) {
			return r, final(err)
		}
		wait = min(2*wait, longestPause)
		w.ask.Timeout = deadline.Sub(w.router.clock.Now())
	}
}

// final returns the refusal that ends the repetitions.
func final(err error) error {
	e := coder.From(err)
	if e.Outcome == coder.NotRun && e.RetryAfter == 0 {
		return e.After(longestPause)
	}
	return e
}

// repeats reports whether a batch that failed may be sent again.
func (w *Work) repeats(b *pooler.Batch, err error) bool {
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

// sleep waits for a time and reports whether the request is still wanted.
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

// once runs a batch at the present owner.
func (w *Work) once(ctx context.Context, b *pooler.Batch, sink pooler.Sink) (pooler.Result, error) {
	owner := ""
	if w.unit == nil {
		u, id, err := w.router.place(w.ask)
		if err != nil {
			return pooler.Result{}, err
		}
		owner = id
		w.set(u)
	}
	r, err := w.unit.Exchange(ctx, b, sink)
	if err != nil {
		var u unreachable
		if errors.As(err, &u) && owner != "" && ctx.Err() == nil {
			w.router.register.Suspect(owner)
		}
		w.Close()
		return r, outcome(err)
	}
	w.open = r.TransactionStatus != 'I'
	if !w.open {
		w.Close()
	}
	return r, nil
}

// outcome gives an error between VMs its code.
func outcome(err error) error {
	var u unreachable
	if errors.As(err, &u) {
		return coder.New(coder.OwnerUnavailable, "the owner of the pool cannot be reached")
	}
	var coded *coder.Error
	if errors.As(err, &coded) {
		return err
	}
	return coder.NewUnknown(coder.OutcomeUnknown, "the owner of the pool broke off")
}

// set installs the unit at the present owner.
func (w *Work) set(u unit) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.unit = u
}

// Close lets go of the unit; an open transaction is rolled back.
func (w *Work) Close() {
	w.mu.Lock()
	u := w.unit
	w.unit = nil
	w.mu.Unlock()
	w.open = false
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

// counter is a Sink that knows whether anything was passed on.
type counter struct {
	sink   pooler.Sink
	passed bool
}

// Frames passes frames on.
func (c *counter) Frames(raw []byte) error {
	c.passed = c.passed || len(raw) > 0
	return c.sink.Frames(raw)
}
