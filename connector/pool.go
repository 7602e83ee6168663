// Package connector keeps the connections of one VM to the instances.
//
// An instance takes a bounded number of connections from all VMs together and
// each connection runs for one organisation only. A VM always may hold its
// share; it opens more one by one, and steps back for longer each time that the
// instance has no room, so that VMs in need do not flood the instance. Callers
// wait in line; a connection that comes back goes to the first who can use it.
package connector

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/marigoldgauge/marigoldgauge/clocker"
	"github.com/marigoldgauge/marigoldgauge/phraser"
)

const (
	// fullFirst is the pause after an instance had no room for a connection:
	// about the time of one short statement, after which one may be free. It
	// doubles up to fullMost.
	fullFirst = 40 * time.Millisecond
	fullMost  = 320 * time.Millisecond
	// dialsAtOnce is the number of connections that are opened at a time.
	dialsAtOnce = 2
	// dialWithin bounds the opening of a connection, whoever still waits for it.
	dialWithin = time.Second
	// overtakenFor is how long the first in line lets others of the organisation
	// of a returning connection go before it: they spare the instance a new
	// connection, which costs it half of a short statement.
	overtakenFor = 250 * time.Millisecond
	// stalledAfter is how long a connection may take to open: as long as a
	// statement of the product may go without an answer.
	stalledAfter = 500 * time.Millisecond
	// heldWeight is the weight of a new measurement in the mean time of use.
	heldWeight = 0.1
)

// ErrNoRoom means that no connection was free before the context ended.
var ErrNoRoom = eris.New("no connection to the instance was free in time")

// Pool keeps the connections of this VM to one instance. It is safe for concurrent use.
type Pool struct {
	target Target
	dialer Dialer
	clock  clocker.Clock
	dials  errgroup.Group

	mu        sync.Mutex
	bounds    Bounds
	idle      []*Link
	open      int
	dialling  int
	fullTimes int
	fullUntil time.Time
	retry     *time.Timer
	line      []*waiter
	held      time.Duration
	closed    bool
	opened    uint64
	// pending are the dials under way with their beginnings; failedSince is when
	// the first of the last dials began that brought no answer at all.
	pending     map[*waiter]time.Time
	failedSince time.Time
}

// NewPool returns an empty Pool.
func NewPool(t Target, d Dialer, c clocker.Clock, b Bounds) *Pool {
	return &Pool{target: t, dialer: d, clock: c, bounds: b, pending: map[*waiter]time.Time{}}
}

// SetBounds changes how many connections may be held.
func (p *Pool) SetBounds(b Bounds) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.bounds = b
}

// Stats returns how the pool stands.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Stats{Open: p.open, Idle: len(p.idle), Dialling: p.dialling, Waiting: len(p.line), Share: p.bounds.Share, FullTimes: p.fullTimes, Opened: p.opened}
}

// Acquire returns a connection that runs for an organisation. Those of a lower
// priority number go first in line. It fails at once when the line is so long
// that no connection can be expected within a time.
func (p *Pool) Acquire(ctx context.Context, organisation string, priority int, within time.Duration) (*Link, error) {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	return p.acquire(ctx, &waiter{organisation: organisation, priority: priority, within: within})
}

// Borrow returns a connection for a statement of the product, whoever it runs for.
func (p *Pool) Borrow(ctx context.Context) (*Link, error) {
	return p.acquire(ctx, &waiter{whoever: true})
}

// pump opens connections for those in line, as far as the bounds allow. The lock is held.
func (p *Pool) pump(now time.Time) {
	if p.closed {
		return
	}
	for _, w := range p.line {
		if w.dialling {
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
		p.dialling++
		w.dialling = true
		p.pending[w] = now
		p.dials.Go(func() error {
			p.dial(w)
			return nil
		})
	}
}

// mayDial reports whether a connection may be opened now. The lock is held.
func (p *Pool) mayDial(now time.Time) bool {
	if wait := p.fullUntil.Sub(now); wait > 0 {
		p.pumpLater(wait)
		return false
	}
	if p.dialling >= dialsAtOnce {
		return false
	}
	if p.open < p.bounds.Share {
		return true
	}
	return p.dialling == 0 && (p.open < p.bounds.Most || len(p.idle) > 0)
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

// discard closes a connection that was counted. The lock is held.
func (p *Pool) discard(l *Link) {
	p.open--
	// The instance notices by itself that the connection is gone.
	_ = l.Close()
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
	p.dialling--
	w.dialling = false
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
		p.line = slices.Delete(p.line, n, n+1)
		w.result <- result{link: l}
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

// Sweep closes connections that have been idle for long.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 && now.Sub(p.idle[0].idleFrom) > p.bounds.IdleFor {
		p.discard(p.idle[0])
		p.idle = p.idle[1:]
	}
}

// Close closes the idle connections and lets the others be closed when they come back.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, l := range p.idle {
		p.discard(l)
	}
	p.idle = nil
	for _, w := range p.line {
		w.result <- result{err: ErrNoRoom}
	}
	p.line = nil
	if p.retry != nil {
		p.retry.Stop()
	}
}

// Wait waits, after Close, until no connection is being opened any more.
func (p *Pool) Wait() {
	_ = p.dials.Wait()
}
