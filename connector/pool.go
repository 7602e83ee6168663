// Package connector pools the connections of one VM to the database instances.
//
// An instance accepts a limited number of connections from all VMs together, and
// each connection serves one organisation only. A VM may always hold its share. It
// opens more connections one by one, with exponential backoff while the instance is
// full, so that VMs short of connections do not flood the instance. Callers wait in a
// queue; a released connection goes to the first waiter that can use it.
package connector

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/marigoldgauge/marigoldgauge/timekeeper"
)

const (
	// minFullBackoff is the first backoff after an instance was full: about the time
	// of one short statement, after which a connection may be free. It doubles up to
	// maxFullBackoff.
	minFullBackoff = 40 * time.Millisecond
	maxFullBackoff = 320 * time.Millisecond
	// minParallelDials is the minimum limit on parallel dials within the share. A VM
	// with a larger share opens as many connections as its share in parallel, since
	// it dials for the VMs of an availability zone.
	minParallelDials = 2
	// extraDialsDivisor divides the share to give the number of parallel dials beyond
	// the share.
	extraDialsDivisor = 2
	// dialTimeout is the timeout of a dial. It does not depend on the waiter, which
	// may leave earlier.
	dialTimeout = time.Second
	// maxOvertaking is the time for which the first waiter may be overtaken by waiters
	// of the organisation of a released connection. Reusing the connection spares the
	// instance a new one, which costs it half of a short statement.
	maxOvertaking = 250 * time.Millisecond
	// stallThreshold is the time after which a dial counts as unanswered: as long as a
	// statement of the proxy itself may take without a response.
	stallThreshold = 500 * time.Millisecond
	// holdTimeWeight is the weight of a new measurement in the moving average of the
	// hold time.
	holdTimeWeight = 0.1
)

// ErrNoConnection means that no connection to the instance was free before the
// context ended, or that none is expected to be.
var ErrNoConnection = eris.New("no connection to the instance was free in time")

// Pool is the pool of connections of this VM to one instance. It is safe for concurrent use.
type Pool struct {
	target    Target
	dialer    Dialer
	clock     timekeeper.Clock
	dialGroup errgroup.Group
	// prepared and deallocated count the statements at the instance.
	prepared, deallocated atomic.Uint64

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
	// dialling maps waiters to the start times of their dials in progress.
	// unansweredSince is the start time of the first dial in the current run of dials
	// without a response.
	dialling        map[*waiter]time.Time
	unansweredSince time.Time
}

// NewPool returns an empty Pool.
func NewPool(t Target, d Dialer, c timekeeper.Clock, b Bounds) *Pool {
	return &Pool{target: t, dialer: d, clock: c, bounds: b, dialling: map[*waiter]time.Time{}}
}

// Group returns the name of the group of the instance.
func (p *Pool) Group() string { return p.target.Group }

// SetBounds changes the limits on the connections of the pool.
func (p *Pool) SetBounds(b Bounds) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.bounds = b
}

// Stats returns the current statistics of the pool.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Stats{Open: p.open, Idle: len(p.idle), Dialling: len(p.dialling), Waiting: len(p.queue), Share: p.bounds.Share, ConsecutiveFull: p.consecutiveFull, Opened: p.opened,
		Prepared: p.prepared.Load(), Deallocated: p.deallocated.Load()}
}

// Acquire returns a connection for an organisation. Callers with a lower priority
// number go first in the queue. It returns ErrNoConnection immediately if the queue is
// so long that no connection is expected within maxWait.
func (p *Pool) Acquire(ctx context.Context, organisation string, priority int, maxWait time.Duration) (*PooledConn, error) {
	ctx, cancel := context.WithTimeout(ctx, maxWait)
	defer cancel()
	return p.acquire(ctx, &waiter{organisation: organisation, priority: priority, maxWait: maxWait})
}

// AcquireAny returns a connection of any organisation, for a statement that the proxy
// itself issues.
func (p *Pool) AcquireAny(ctx context.Context) (*PooledConn, error) {
	return p.acquire(ctx, &waiter{anyOrganisation: true})
}

// discard closes a connection that is counted as open. The caller holds the lock.
func (p *Pool) discard(c *PooledConn) {
	p.open--
	// An error is ignored: the instance detects a lost connection itself.
	_ = c.Close()
}

// CloseIdle closes connections that have exceeded the idle timeout.
func (p *Pool) CloseIdle(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 && now.Sub(p.idle[0].idleSince) > p.bounds.IdleTimeout {
		p.discard(p.idle[0])
		p.idle = p.idle[1:]
	}
}

// Close closes the idle connections and rejects the waiters. Connections in use are
// closed when they are released.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		p.discard(c)
	}
	p.idle = nil
	for _, w := range p.queue {
		w.result <- waitResult{err: ErrNoConnection}
	}
	p.queue = nil
	if p.dialTimer != nil {
		p.dialTimer.Stop()
	}
}

// Wait waits, after Close, until all dials have ended.
func (p *Pool) Wait() {
	_ = p.dialGroup.Wait()
}
