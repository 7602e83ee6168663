package connector

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/marigoldgauge/marigoldgauge/phraser"
)

// pump opens connections for those in line, as far as the bounds allow. The lock is held.
func (p *Pool) pump(now time.Time) {
	if p.closed {
		return
	}
	for _, w := range p.line {
		if p.dialsFor(w) {
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
		p.pending[w] = now
		p.dials.Go(func() error {
			p.dial(w)
			return nil
		})
	}
}

// dialsFor reports whether a connection is being opened on behalf of a waiter.
// The lock is held.
func (p *Pool) dialsFor(w *waiter) bool {
	_, ok := p.pending[w]
	return ok
}

// mayDial reports whether a connection may be opened now. The lock is held.
func (p *Pool) mayDial(now time.Time) bool {
	if wait := p.fullUntil.Sub(now); wait > 0 {
		p.pumpLater(wait)
		return false
	}
	if p.open < p.bounds.Share {
		return len(p.pending) < max(dialsAtOnce, p.bounds.Share)
	}
	return len(p.pending) < max(1, p.bounds.Share/beyondShare) && (p.open < p.bounds.Most || len(p.idle) > 0)
}

// pumpLater looks at the line again after a time. The lock is held.
func (p *Pool) pumpLater(wait time.Duration) {
	if p.retry != nil {
		return
	}
	p.retry = time.AfterFunc(wait, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.retry = nil
		p.pump(p.clock.Now())
	})
}

// dial opens a connection on behalf of a waiter, who may have left meanwhile.
func (p *Pool) dial(w *waiter) {
	ctx, cancel := context.WithTimeout(context.Background(), dialWithin)
	defer cancel()
	began := p.clock.Now()
	conn, err := p.dialer.Dial(ctx, p.target, w.organisation)
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.pending, w)
	p.noteDial(began, err)
	if err != nil {
		p.open--
		p.failed(now, w, err)
		return
	}
	p.opened++
	p.fullTimes = 0
	l := &Link{Conn: conn, Organisation: w.organisation, pool: p, fresh: true, since: began, values: map[string]string{}, prepared: map[string]bool{}}
	if n := slices.Index(p.line, w); n >= 0 {
		p.serve(n, l)
		p.pump(now)
		return
	}
	p.pass(now, l)
}

// noteDial notes whether the instance answered a dial. The lock is held.
func (p *Pool) noteDial(began time.Time, err error) {
	var r *Refusal
	if err == nil || errors.As(err, &r) {
		p.failedSince = time.Time{}
	} else if p.failedSince.IsZero() {
		p.failedSince = began
	}
}

// Stalled returns since when the instance has not answered those who connect to
// it; ok is false while it does, or may yet do so in time.
func (p *Pool) Stalled(now time.Time) (since time.Time, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	since = p.failedSince
	for _, began := range p.pending {
		if now.Sub(began) >= stalledAfter && (since.IsZero() || began.Before(since)) {
			since = began
		}
	}
	return since, !since.IsZero()
}

// failed tells a waiter that its connection could not be opened. Without room
// it stays in line. The lock is held.
func (p *Pool) failed(now time.Time, w *waiter, err error) {
	if isFull(err) {
		p.fullUntil = now.Add(min(fullFirst<<min(p.fullTimes, 8), fullMost))
		p.fullTimes++
	} else if n := slices.Index(p.line, w); n >= 0 {
		p.line = slices.Delete(p.line, n, n+1)
		w.result <- result{err: err}
	}
	p.pump(now)
}

// isFull reports whether an instance has no room for a connection.
func isFull(err error) bool {
	var r *Refusal
	return errors.As(err, &r) && r.Result == phraser.Full
}
