package connector

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/marigoldgauge/marigoldgauge/modeller"
	"github.com/marigoldgauge/marigoldgauge/preparer"
)

// dialForWaiters opens connections for queued waiters, as far as the bounds allow. The caller holds the lock.
func (p *Pool) dialForWaiters(now time.Time) {
	if p.closed {
		return
	}
	for _, w := range p.queue {
		if p.isDiallingFor(w) {
			continue
		}
		if !p.mayDial(now) {
			return
		}
		if p.open >= p.bounds.Share && len(p.idle) > 0 {
			p.discard(p.idle[0])
			p.idle = p.idle[1:]
		}
		p.open++
		p.dialling[w] = now
		p.dialGroup.Go(func() error {
			p.dial(w)
			return nil
		})
	}
}

// isDiallingFor reports whether a connection is being opened for a waiter.
// The caller holds the lock.
func (p *Pool) isDiallingFor(w *waiter) bool {
	_, ok := p.dialling[w]
	return ok
}

// mayDial reports whether a connection may be opened now. The caller holds the lock.
func (p *Pool) mayDial(now time.Time) bool {
	if wait := p.fullUntil.Sub(now); wait > 0 {
		p.scheduleDials(wait)
		return false
	}
	if p.open < p.bounds.Share {
		return len(p.dialling) < max(minParallelDials, p.bounds.Share)
	}
	return len(p.dialling) < max(1, p.bounds.Share/extraDialsDivisor) && (p.open < p.bounds.Max || len(p.idle) > 0)
}

// scheduleDials runs dialForWaiters after a delay. The caller holds the lock.
func (p *Pool) scheduleDials(delay time.Duration) {
	if p.dialTimer != nil {
		return
	}
	p.dialTimer = time.AfterFunc(delay, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.dialTimer = nil
		p.dialForWaiters(p.clock.Now())
	})
}

// dial opens a connection for a waiter, which may have left the queue meanwhile.
func (p *Pool) dial(w *waiter) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	startedAt := p.clock.Now()
	conn, err := p.dialer.Dial(ctx, p.target, w.organisation)
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.dialling, w)
	p.recordDial(startedAt, err)
	if err != nil {
		p.open--
		p.handleDialError(now, w, err)
		return
	}
	p.opened++
	p.consecutiveFull = 0
	c := &PooledConn{Conn: conn, Organisation: w.organisation, pool: p, isNew: true, acquiredAt: startedAt, values: map[string]string{}, prepared: preparer.New()}
	if n := slices.Index(p.queue, w); n >= 0 {
		p.serve(n, c)
		p.dialForWaiters(now)
		return
	}
	p.handOver(now, c)
}

// recordDial records whether the instance responded to a dial. The caller holds the lock.
func (p *Pool) recordDial(startedAt time.Time, err error) {
	var refusal *Refusal
	var unsent *EncodingError
	if errors.As(err, &unsent) {
		return
	}
	if err == nil || errors.As(err, &refusal) {
		p.unansweredSince = time.Time{}
	} else if p.unansweredSince.IsZero() {
		p.unansweredSince = startedAt
	}
}

// UnansweredSince returns the time since which the instance has not responded to
// dials. ok is false while it responds, or while dials are younger than
// stallThreshold.
func (p *Pool) UnansweredSince(now time.Time) (since time.Time, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	since = p.unansweredSince
	for _, startedAt := range p.dialling {
		if now.Sub(startedAt) >= stallThreshold && (since.IsZero() || startedAt.Before(since)) {
			since = startedAt
		}
	}
	return since, !since.IsZero()
}

// handleDialError reports a failed dial to its waiter. If the instance is full the
// waiter stays in the queue and dials pause for a backoff. The caller holds the lock.
func (p *Pool) handleDialError(now time.Time, w *waiter, err error) {
	if isFull(err) {
		p.fullUntil = now.Add(min(minFullBackoff<<min(p.consecutiveFull, 8), maxFullBackoff))
		p.consecutiveFull++
	} else if n := slices.Index(p.queue, w); n >= 0 {
		p.queue = slices.Delete(p.queue, n, n+1)
		w.result <- waitResult{err: err}
	}
	p.dialForWaiters(now)
}

// isFull reports whether an instance refused a connection because it is full.
func isFull(err error) bool {
	var refusal *Refusal
	return errors.As(err, &refusal) && refusal.Result == modeller.ConnectionLimitReached
}
