// Package connector keeps the connections of one VM to the instances.
//
// An instance takes a bounded number of connections from all VMs together and
// each connection runs for one organisation only. A VM always may hold its
// share; it opens more one by one, and steps back for longer each time that the
// instance has no room, so that VMs in need do not flood the instance. Idle
// connections of other organisations are given up first.
package connector

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rotisserie/eris"

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
	// waitSlice is how long a caller waits before it looks again by itself.
	waitSlice = 50 * time.Millisecond
	// idleFor is how long an idle connection is kept.
	idleFor = 15 * time.Second
)

// ErrNoRoom means that no connection was free before the context ended.
var ErrNoRoom = eris.New("no connection to the instance was free in time")

// Pool keeps the connections of this VM to one instance. It is safe for concurrent use.
type Pool struct {
	target Target
	dialer Dialer
	clock  clocker.Clock

	mu        sync.Mutex
	bounds    Bounds
	idle      []*Link
	open      int
	dialing   int
	fullTimes int
	fullUntil time.Time
	waiting   []chan struct{}
	closed    bool
	opened    uint64
}

// NewPool returns an empty Pool.
func NewPool(t Target, d Dialer, c clocker.Clock, b Bounds) *Pool {
	return &Pool{target: t, dialer: d, clock: c, bounds: b}
}

// SetBounds changes how many connections may be held.
func (p *Pool) SetBounds(b Bounds) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.bounds = b
}

// Open returns the number of connections held, and of those that were ever opened.
func (p *Pool) Open() (open int, opened uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open, p.opened
}

// Acquire returns a connection that runs for an organisation.
func (p *Pool) Acquire(ctx context.Context, organisation string) (*Link, error) {
	return p.acquire(ctx, organisation, false)
}

// Borrow returns a connection for a statement of the product, whoever it runs for.
func (p *Pool) Borrow(ctx context.Context) (*Link, error) {
	return p.acquire(ctx, "", true)
}

// acquire returns an idle connection or opens one, waiting for room if need be.
func (p *Pool) acquire(ctx context.Context, organisation string, whoever bool) (*Link, error) {
	for {
		link, may, retry := p.take(p.clock.Now(), organisation, whoever)
		if link != nil {
			if link.Alive() {
				return link, nil
			}
			p.drop(link)
			continue
		}
		if may {
			link, err := p.dial(ctx, organisation)
			if link != nil || !isFull(err) {
				return link, err
			}
			continue
		}
		if err := p.wait(ctx, retry); err != nil {
			return nil, err
		}
	}
}

// take returns an idle connection, or whether a new one may be opened, or how long to wait.
func (p *Pool) take(now time.Time, organisation string, whoever bool) (link *Link, may bool, retry time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := len(p.idle) - 1; i >= 0; i-- {
		if l := p.idle[i]; whoever || l.Organisation == organisation {
			p.idle = append(p.idle[:i], p.idle[i+1:]...)
			l.fresh = false
			return l, false, 0
		}
	}
	if wait := p.fullUntil.Sub(now); wait > 0 {
		return nil, false, min(wait, waitSlice)
	}
	beyond := p.open >= p.bounds.Share
	if p.dialing >= dialsAtOnce || (beyond && p.dialing > 0) || (p.open >= p.bounds.Most && len(p.idle) == 0) {
		return nil, false, waitSlice
	}
	if beyond && len(p.idle) > 0 {
		p.evict()
	}
	p.open++
	p.dialing++
	return nil, true, 0
}

// evict closes the connection that was idle for longest. The lock is held.
func (p *Pool) evict() {
	l := p.idle[0]
	p.idle = p.idle[1:]
	p.open--
	_ = l.Close()
}

// dial opens a connection for which take has made room.
func (p *Pool) dial(ctx context.Context, organisation string) (*Link, error) {
	conn, err := p.dialer.Dial(ctx, p.target, organisation)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dialing--
	if err == nil && p.closed {
		_ = conn.Close()
		err = ErrNoRoom
	}
	if err == nil {
		p.opened++
		p.fullTimes = 0
		p.wake()
		return &Link{Conn: conn, Organisation: organisation, pool: p, fresh: true,
			values: map[string]string{}, prepared: map[string]bool{}}, nil
	}
	p.open--
	if isFull(err) {
		p.fullUntil = p.clock.Now().Add(min(fullFirst<<min(p.fullTimes, 8), fullMost))
		p.fullTimes++
	}
	p.wake()
	return nil, err
}

// isFull reports whether an instance has no room for a connection.
func isFull(err error) bool {
	var r *Refusal
	return errors.As(err, &r) && r.Result == phraser.Full
}

// wait waits for a connection to come back, at most for retry.
func (p *Pool) wait(ctx context.Context, retry time.Duration) error {
	ch := make(chan struct{})
	p.mu.Lock()
	p.waiting = append(p.waiting, ch)
	p.mu.Unlock()
	timer := time.NewTimer(retry)
	defer timer.Stop()
	select {
	case <-ch:
		return nil
	case <-timer.C:
	case <-ctx.Done():
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, w := range p.waiting {
		if w == ch {
			p.waiting = append(p.waiting[:i], p.waiting[i+1:]...)
			break
		}
	}
	if ctx.Err() != nil {
		select {
		case <-ch:
			p.wake()
		default:
		}
		return ErrNoRoom
	}
	return nil
}

// wake lets the first waiter try again. The lock is held.
func (p *Pool) wake() {
	if len(p.waiting) == 0 {
		return
	}
	close(p.waiting[0])
	p.waiting = p.waiting[1:]
}

// release takes a connection back.
func (p *Pool) release(now time.Time, l *Link, reusable bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	defer p.wake()
	if !reusable || p.closed || (p.open > p.bounds.Share && len(p.waiting) == 0) {
		p.open--
		_ = l.Close()
		return
	}
	l.idleFrom = now
	p.idle = append(p.idle, l)
}

// drop closes a connection that the instance has closed.
func (p *Pool) drop(l *Link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
	_ = l.Close()
}

// Sweep closes connections that have been idle for long.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 && now.Sub(p.idle[0].idleFrom) > idleFor {
		p.evict()
	}
}

// Close closes the idle connections and lets the others be closed when they come back.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for len(p.idle) > 0 {
		p.evict()
	}
}
