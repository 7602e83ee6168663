package connector

import (
	"context"
	"slices"
	"time"
)

// acquire returns an idle connection or waits in the queue for one.
func (p *Pool) acquire(ctx context.Context, w *waiter) (*PooledConn, error) {
	now := p.clock.Now()
	if c := p.takeIdle(w); c != nil {
		return c, nil
	}
	w.queuedAt, w.result = now, make(chan waitResult, 1)
	p.mu.Lock()
	if len(p.queue) == 0 {
		p.fairQueue.reset()
	}
	w.tag = p.fairQueue.startTag(w.organisation, p.meanHoldTime)
	index := p.queueIndex(w)
	if p.closed || (w.maxWait > 0 && p.estimateWait(index) > w.maxWait) {
		p.fairQueue.adjust(w.organisation, -p.meanHoldTime)
		p.mu.Unlock()
		return nil, ErrNoConnection
	}
	p.queue = slices.Insert(p.queue, index, w)
	p.dialForWaiters(now)
	p.mu.Unlock()
	select {
	case r := <-w.result:
		return r.conn, r.err
	case <-ctx.Done():
		return nil, p.removeWaiter(w)
	}
}

// queueIndex returns the index in the queue at which a waiter is inserted. The caller holds the lock.
func (p *Pool) queueIndex(w *waiter) int {
	n := len(p.queue)
	for n > 0 && w.goesBefore(p.queue[n-1]) {
		n--
	}
	return n
}

// estimateWait estimates the wait of a caller at an index of the queue. The caller holds the lock.
func (p *Pool) estimateWait(index int) time.Duration {
	if p.open < p.bounds.Share {
		return 0
	}
	return p.meanHoldTime * time.Duration(index) / time.Duration(max(p.open, 1))
}

// takeIdle returns an idle connection that the waiter can use and that is still open.
func (p *Pool) takeIdle(w *waiter) *PooledConn {
	for {
		p.mu.Lock()
		n := -1
		for i := len(p.idle) - 1; i >= 0 && n < 0; i-- {
			if w.canUse(p.idle[i].Organisation) {
				n = i
			}
		}
		if n < 0 {
			p.mu.Unlock()
			return nil
		}
		c := p.idle[n]
		p.idle = slices.Delete(p.idle, n, n+1)
		p.mu.Unlock()
		if c.Alive() {
			c.isNew, c.acquiredAt = false, p.clock.Now()
			return c
		}
		p.mu.Lock()
		p.discard(c)
		p.mu.Unlock()
	}
}

// removeWaiter removes a waiter from the queue. A connection that it was given
// meanwhile is handed over to the next waiter.
func (p *Pool) removeWaiter(w *waiter) error {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.queue = slices.DeleteFunc(p.queue, func(o *waiter) bool { return o == w })
	select {
	case r := <-w.result:
		if r.conn != nil {
			p.handOver(now, r.conn)
		}
	default:
	}
	return ErrNoConnection
}

// release returns a connection to the pool, or closes it if it is not reusable.
func (p *Pool) release(now time.Time, c *PooledConn, reusable bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	held := now.Sub(c.acquiredAt)
	p.fairQueue.adjust(c.Organisation, held-p.meanHoldTime)
	p.meanHoldTime += time.Duration(holdTimeWeight * float64(held-p.meanHoldTime))
	if !reusable || p.closed {
		p.discard(c)
		p.dialForWaiters(now)
		return
	}
	p.handOver(now, c)
}

// handOver gives a connection to the first waiter that can use it. Without one it
// keeps the connection idle within the share and closes it otherwise. The caller holds the lock.
func (p *Pool) handOver(now time.Time, c *PooledConn) {
	c.isNew, c.acquiredAt = false, now
	if n := p.nextWaiter(now, c.Organisation); n >= 0 {
		p.serve(n, c)
		return
	}
	if len(p.queue) > 0 || p.open > p.bounds.Share || p.closed {
		p.discard(c)
		p.dialForWaiters(now)
		return
	}
	c.idleSince = now
	p.idle = append(p.idle, c)
}

// serve gives a connection to the waiter at an index of the queue. The caller holds the lock.
func (p *Pool) serve(n int, c *PooledConn) {
	w := p.queue[n]
	p.queue = slices.Delete(p.queue, n, n+1)
	p.fairQueue.serve(w.tag)
	w.result <- waitResult{conn: c}
}

// nextWaiter returns the index of the waiter that gets a connection of an
// organisation, or -1. The first waiter may be overtaken for maxOvertaking only. The caller holds the lock.
func (p *Pool) nextWaiter(now time.Time, organisation string) int {
	if len(p.queue) == 0 {
		return -1
	}
	first := p.queue[0]
	if !first.canUse(organisation) && !p.isDiallingFor(first) && now.Sub(first.queuedAt) > maxOvertaking {
		return -1
	}
	return slices.IndexFunc(p.queue, func(w *waiter) bool { return w.canUse(organisation) })
}
