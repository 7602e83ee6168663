package connector

import (
	"context"
	"slices"
	"time"
)

// acquire returns an idle connection or waits in line for one.
func (p *Pool) acquire(ctx context.Context, w *waiter) (*Link, error) {
	now := p.clock.Now()
	if link := p.takeIdle(w); link != nil {
		return link, nil
	}
	w.since, w.result = now, make(chan result, 1)
	p.mu.Lock()
	if len(p.line) == 0 {
		p.turns.rest()
	}
	w.tag = p.turns.tag(w.organisation, p.held)
	place := p.place(w)
	if p.closed || (w.within > 0 && p.wait(place) > w.within) {
		p.turns.correct(w.organisation, -p.held)
		p.mu.Unlock()
		return nil, ErrNoRoom
	}
	p.line = slices.Insert(p.line, place, w)
	p.pump(now)
	p.mu.Unlock()
	select {
	case r := <-w.result:
		return r.link, r.err
	case <-ctx.Done():
		return nil, p.leave(w)
	}
}

// place returns where in line a waiter goes. The lock is held.
func (p *Pool) place(w *waiter) int {
	n := len(p.line)
	for n > 0 && w.before(p.line[n-1]) {
		n--
	}
	return n
}

// wait estimates how long a caller at a place would stand in line. The lock is held.
func (p *Pool) wait(place int) time.Duration {
	if p.open < p.bounds.Share {
		return 0
	}
	return p.held * time.Duration(place) / time.Duration(max(p.open, 1))
}

// takeIdle returns an idle connection that the waiter can use and that is still open.
func (p *Pool) takeIdle(w *waiter) *Link {
	for {
		p.mu.Lock()
		n := -1
		for i := len(p.idle) - 1; i >= 0 && n < 0; i-- {
			if w.takes(p.idle[i].Organisation) {
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
			l.fresh, l.since = false, p.clock.Now()
			return l
		}
		p.mu.Lock()
		p.discard(l)
		p.mu.Unlock()
	}
}

// leave takes a waiter out of the line. A connection that it was given meanwhile goes on.
func (p *Pool) leave(w *waiter) error {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.line = slices.DeleteFunc(p.line, func(o *waiter) bool { return o == w })
	select {
	case r := <-w.result:
		if r.link != nil {
			p.pass(now, r.link)
		}
	default:
	}
	return ErrNoRoom
}

// release takes a connection back.
func (p *Pool) release(now time.Time, l *Link, reusable bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	held := now.Sub(l.since)
	p.turns.correct(l.Organisation, held-p.held)
	p.held += time.Duration(heldWeight * float64(held-p.held))
	if !reusable || p.closed {
		p.discard(l)
		p.pump(now)
		return
	}
	p.pass(now, l)
}

// pass gives a connection to the first in line who can use it. The lock is held.
func (p *Pool) pass(now time.Time, l *Link) {
	l.fresh, l.since = false, now
	if n := p.next(now, l.Organisation); n >= 0 {
		p.serve(n, l)
		return
	}
	if len(p.line) > 0 || p.open > p.bounds.Share || p.closed {
		p.discard(l)
		p.pump(now)
		return
	}
	l.idleFrom = now
	p.idle = append(p.idle, l)
}

// serve gives a connection to the caller at a place in line. The lock is held.
func (p *Pool) serve(n int, l *Link) {
	w := p.line[n]
	p.line = slices.Delete(p.line, n, n+1)
	p.turns.serve(w.tag)
	w.result <- result{link: l}
}

// next returns who in line gets a connection of an organisation, or -1. The
// first in line is overtaken for a moment only. The lock is held.
func (p *Pool) next(now time.Time, organisation string) int {
	if len(p.line) == 0 {
		return -1
	}
	first := p.line[0]
	if !first.takes(organisation) && !p.dialsFor(first) && now.Sub(first.since) > overtakenFor {
		return -1
	}
	return slices.IndexFunc(p.line, func(w *waiter) bool { return w.takes(organisation) })
}
