// Package coalescer shares runs of an action between concurrent calls, such that each call is served by a run that
// began after it: what the run reads is as of a time after the call.
package coalescer

import (
	"context"
	"sync"

	"github.com/rotisserie/eris"
)

// Coalescer shares the runs of one action. It is safe for concurrent use.
type Coalescer struct {
	run func(ctx context.Context) error
	// running is full during a run.
	running chan struct{}

	mu sync.Mutex
	// next is the round that begins next; nil if no call waits for one.
	next *round
}

// round is a run with the calls that it serves.
type round struct {
	// done is closed once err is set.
	done chan struct{}
	err  error
}

// New returns a Coalescer of an action.
func New(run func(ctx context.Context) error) *Coalescer {
	return &Coalescer{run: run, running: make(chan struct{}, 1)}
}

// Do returns the result of a run that begins after the call, with the context of one of its callers.
func (c *Coalescer) Do(ctx context.Context) error {
	r := c.join()
	select {
	case c.running <- struct{}{}:
	case <-r.done:
		return r.err
	case <-ctx.Done():
		return eris.Wrap(ctx.Err(), "waiting for a shared run")
	}
	defer func() { <-c.running }()
	select {
	case <-r.done:
	default:
		c.seal(r)
		r.err = c.run(ctx)
		close(r.done)
	}
	return r.err
}

// join returns the round that begins next.
func (c *Coalescer) join() *round {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.next == nil {
		c.next = &round{done: make(chan struct{})}
	}
	return c.next
}

// seal ends the joining of a round.
func (c *Coalescer) seal(r *round) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.next == r {
		c.next = nil
	}
}
