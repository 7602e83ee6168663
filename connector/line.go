package connector

import (
	"context"
	"slices"
	"time"
)

// acquire returns an idle connection or waits in line for one.
func (p *Pool) acquire(ctx context.Context, w *waiter) (*PooledConn, error) {
	now := p.clock.Now()
	if link := p.takeIdle(w); link != nil {
		return link, nil
	}
	w.queuedAt, w.result = now, make(chan dialResult, 1)
	p.mu.Lock()
	if len(p.queue) == 0 {
		p.fairQueue.reset()
	}
	w.tag = p.fairQueue.startTag(w.organisation, p.meanHoldTime)
	place := p.queueIndex(w)
	if p.closed || (w.maxWait > 0 && p.estimateWait(place) > w.maxWait) {
		p.fairQueue.adjust(w.organisation, -p.meanHoldTime)
		p.mu.Unlock()
		return nil, ErrNoConnection
	}
	p.queue = slices.Insert(p.queue, place, w)
	p.dialForWaiters(now)
	p.mu.Unlock()
	select {
	case r := <-w.result:
		return r.link, r.err
	case <-ctx.Done():
		return nil, p.removeWaiter(w)
	}
}

// queueIndex returns where in line a waiter goes. The lock is held.
func (p *Pool) queueIndex(w *waiter) int {
	n := len(p.queue)
	for n > 0 && w.goesBefore(p.queue[n-1]) {
		n--
	}
	return n
}

// estimateWait estimates how long a caller at a place would stand in line. The lock is held.
func (p *Pool) estimateWait(place int) time.Duration {
	if p.open < p.bounds.Share {
		return 0
	}
	return p.meanHoldTime * time.Duration(place) / time.Duration(max(p.open, 1))
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
		l := p.idle[n]
		p.idle = slices.Delete(p.idle, n, n+1)
		p.mu.Unlock()
		if l.Alive() {
			l.isNew, l.acquiredAt = false, p.clock.Now()
			return l
		}
		p.mu.Lock()
		p.discard(l)
		p.mu.Unlock()
	}
}

// removeWaiter takes a waiter out of the line. A connection that it was given meanwhile goes on.
func (p *Pool) removeWaiter(w *waiter) error {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.queue = slices.DeleteFunc(p.queue, func(o *waiter) bool { return o == w })
	select {
	case r := <-w.result:
		if r.link != nil {
			p.handOver(now, r.link)
		}
	default:
	}
	return ErrNoConnection
}

// release takes a connection back.
func (p *Pool) release(now time.Time, l *PooledConn, reusable bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	held := now.Sub(l.acquiredAt)
	p.fairQueue.adjust(l.Organisation, held-p.meanHoldTime)
	p.meanHoldTime += time.Duration(holdTimeWeight * float64(held-p.meanHoldTime))
	if !reusable || p.closed {
		p.discard(l)
		p.dialForWaiters(now)
		return
	}
	p.handOver(now, l)
}

// handOver gives a connection to the first in line who can use it. The lock is held.
func (p *Pool) handOver(now time.Time, l *PooledConn) {
	l.isNew, l.acquiredAt = false, now
	if n := p.nextWaiter(now, l.Organisation); n >= 0 {
		p.serve(n, l)
		return
	}
	if len(p.queue) > 0 || p.open > p.bounds.Share || p.closed {
		p.discard(l)
		p.dialForWaiters(now)
		return
	}
	l.idleSince = now
	p.idle = append(p.idle, l)
}

// serve gives a connection to the caller at a place in line. The lock is held.
func (p *Pool) serve(n int, l *PooledConn) {
	w := p.queue[n]
	p.queue = slices.Delete(p.queue, n, n+1)
	p.fairQueue.serve(w.tag)
	w.result <- dialResult{link: l}
}

// nextWaiter returns who in line gets a connection of an organisation, or -1. The
// first in line is overtaken for a moment only. The lock is held.
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
