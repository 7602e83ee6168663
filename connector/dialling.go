package connector

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/marigoldgauge/marigoldgauge/phraser"
)

// dialForWaiters opens connections for those in line, as far as the bounds allow. The lock is held.
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

// isDiallingFor reports whether a connection is being opened on behalf of a waiter.
// The lock is held.
func (p *Pool) isDiallingFor(w *waiter) bool {
	_, ok := p.dialling[w]
	return ok
}

// mayDial reports whether a connection may be opened now. The lock is held.
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

// scheduleDials looks at the line again after a time. The lock is held.
func (p *Pool) scheduleDials(wait time.Duration) {
	if p.dialTimer != nil {
		return
	}
	p.dialTimer = time.AfterFunc(wait, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.dialTimer = nil
		p.dialForWaiters(p.clock.Now())
	})
}

// dial opens a connection on behalf of a waiter, who may have left meanwhile.
func (p *Pool) dial(w *waiter) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	began := p.clock.Now()
	conn, err := p.dialer.Dial(ctx, p.target, w.organisation)
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.dialling, w)
	p.recordDial(began, err)
	if err != nil {
		p.open--
		p.handleDialError(now, w, err)
		return
	}
	p.opened++
	p.consecutiveFull = 0
	l := &PooledConn{Conn: conn, Organisation: w.organisation, pool: p, isNew: true, acquiredAt: began, values: map[string]string{}, prepared: map[string]bool{}}
	if n := slices.Index(p.queue, w); n >= 0 {
		p.serve(n, l)
		p.dialForWaiters(now)
		return
	}
	p.handOver(now, l)
}

// recordDial notes whether the instance answered a dial. The lock is held.
func (p *Pool) recordDial(began time.Time, err error) {
	var r *Refusal
	if err == nil || errors.As(err, &r) {
		p.unansweredSince = time.Time{}
	} else if p.unansweredSince.IsZero() {
		p.unansweredSince = began
	}
}

// UnansweredSince returns since when the instance has not answered those who connect to
// it; ok is false while it does, or may yet do so in time.
func (p *Pool) UnansweredSince(now time.Time) (since time.Time, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	since = p.unansweredSince
	for _, began := range p.dialling {
		if now.Sub(began) >= stallThreshold && (since.IsZero() || began.Before(since)) {
			since = began
		}
	}
	return since, !since.IsZero()
}

// handleDialError tells a waiter that its connection could not be opened. Without room
// it stays in line. The lock is held.
func (p *Pool) handleDialError(now time.Time, w *waiter, err error) {
	if isFull(err) {
		p.fullUntil = now.Add(min(minFullBackoff<<min(p.consecutiveFull, 8), maxFullBackoff))
		p.consecutiveFull++
	} else if n := slices.Index(p.queue, w); n >= 0 {
		p.queue = slices.Delete(p.queue, n, n+1)
		w.result <- dialResult{err: err}
	}
	p.dialForWaiters(now)
}

// isFull reports whether an instance has no room for a connection.
func isFull(err error) bool {
	var r *Refusal
	return errors.As(err, &r) && r.Result == phraser.Full
}
