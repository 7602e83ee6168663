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
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/marigoldgauge/marigoldgauge/clocker"
)

const (
	// minFullBackoff is the pause after an instance had no room for a connection:
	// about the time of one short statement, after which one may be free. It
	// doubles up to fullMost.
	minFullBackoff = 40 * time.Millisecond
	maxFullBackoff = 320 * time.Millisecond
	// minParallelDials is the least number of connections that are opened at a time; a
	// holder with a larger share opens as many as that, since it dials for the VMs
	// of an availability zone.
	minParallelDials = 2
	// extraDialsDivisor is the part of the share that may be opened at a time beyond it.
	extraDialsDivisor = 2
	// dialTimeout bounds the opening of a connection, whoever still waits for it.
	dialTimeout = time.Second
	// maxOvertaking is how long the first in line lets others of the organisation
	// of a returning connection go before it: they spare the instance a new
	// connection, which costs it half of a short statement.
	maxOvertaking = 250 * time.Millisecond
	// stallThreshold is how long a connection may take to open: as long as a
	// statement of the product may go without an answer.
	stallThreshold = 500 * time.Millisecond
	// holdTimeWeight is the weight of a new measurement in the mean time of use.
	holdTimeWeight = 0.1
)

// ErrNoConnection means that no connection was free before the context ended.
var ErrNoConnection = eris.New("no connection to the instance was free in time")

// Pool keeps the connections of this VM to one instance. It is safe for concurrent use.
type Pool struct {
	target    Target
	dialer    Dialer
	clock     clocker.Clock
	dialGroup errgroup.Group

	mu              sync.Mutex
	bounds          Bounds
	idle            []*PooledConn
	open            int
	consecutiveFull int
	fullUntil       time.Time
	dialTimer       *time.Timer
	queue           []*waiter
	fairQueue       fairQueue
	meanHoldTime    time.Duration
	closed          bool
	opened          uint64
	// dialling are the dials under way with their beginnings; failedSince is when
	// the first of the last dials began that brought no answer at all.
	dialling        map[*waiter]time.Time
	unansweredSince time.Time
}

// NewPool returns an empty Pool.
func NewPool(t Target, d Dialer, c clocker.Clock, b Bounds) *Pool {
	return &Pool{target: t, dialer: d, clock: c, bounds: b, dialling: map[*waiter]time.Time{}}
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
	return Stats{Open: p.open, Idle: len(p.idle), Dialling: len(p.dialling), Waiting: len(p.queue), Share: p.bounds.Share, FullTimes: p.consecutiveFull, Opened: p.opened}
}

// Acquire returns a connection that runs for an organisation. Those of a lower
// priority number go first in line. It fails at once when the line is so long
// that no connection can be expected within a time.
func (p *Pool) Acquire(ctx context.Context, organisation string, priority int, within time.Duration) (*PooledConn, error) {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	return p.acquire(ctx, &waiter{organisation: organisation, priority: priority, maxWait: within})
}

// AcquireAny returns a connection for a statement of the product, whoever it runs for.
func (p *Pool) AcquireAny(ctx context.Context) (*PooledConn, error) {
	return p.acquire(ctx, &waiter{anyOrganisation: true})
}

// discard closes a connection that was counted. The lock is held.
func (p *Pool) discard(l *PooledConn) {
	p.open--
	// The instance notices by itself that the connection is gone.
	_ = l.Close()
}

// Sweep closes connections that have been idle for long.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 && now.Sub(p.idle[0].idleSince) > p.bounds.IdleTimeout {
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
	for _, w := range p.queue {
		w.result <- dialResult{err: ErrNoConnection}
	}
	p.queue = nil
	if p.dialTimer != nil {
		p.dialTimer.Stop()
	}
}

// Wait waits, after Close, until no connection is being opened any more.
func (p *Pool) Wait() {
	_ = p.dialGroup.Wait()
}
