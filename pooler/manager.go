package pooler

import (
	"context"
	"math/rand/v2"
	"sort"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/marigoldgauge/marigoldgauge/clocker"
	"github.com/marigoldgauge/marigoldgauge/registrar"
)

const (
	// startupDelay is the time that a new process gets to learn who else is there:
	// before it, every pool would look as if it had no owner.
	startupDelay = 1200 * time.Millisecond
	// minorityDelay is how long a VM that sees a minority of the others takes no
	// pool: it is more likely to be cut off than to be the last one.
	minorityDelay = time.Minute
	// reconcileInterval is the time between two looks at who should own what.
	reconcileInterval = 100 * time.Millisecond
	// takeoverBackoff is the mean wait after a takeover that failed.
	takeoverBackoff = 300 * time.Millisecond
	// fencedBackoff is the wait after another VM took a pool over.
	fencedBackoff = 3 * time.Second
)

// Register is the roster, as the Manager needs it.
type Register interface {
	// Roster returns the roster at hand.
	Roster() registrar.Roster
	// Majority reports whether the roster holds more than half of the VMs that should be there.
	Majority() bool
	// Changed returns a channel that is closed when the roster changes.
	Changed() <-chan struct{}
	// SetUnfit names the groups whose primary this VM cannot reach while others can.
	SetUnfit(groups []string)
}

// Manager takes over the pools that this VM should own.
type Manager struct {
	vm           string
	register     Register
	clock        clocker.Clock
	random       *rand.Rand
	pools        map[string]*Pool
	names        []string
	nextAttempt  map[string]time.Time
	startedAt    time.Time
	majoritySeen time.Time
}

// NewManager returns a Manager of pools. The seed spreads repeated attempts.
func NewManager(vm string, r Register, c clocker.Clock, seed uint64, pools []*Pool) *Manager {
	m := &Manager{
		vm:          vm,
		register:    r,
		clock:       c,
		random:      rand.New(rand.NewPCG(seed, seed)),
		pools:       map[string]*Pool{},
		nextAttempt: map[string]time.Time{},
	}
	for _, p := range pools {
		m.pools[p.Group()] = p
		m.names = append(m.names, p.Group())
	}
	sort.Strings(m.names)
	return m
}

// Pool returns the pool of a group, or nil.
func (m *Manager) Pool(group string) *Pool {
	return m.pools[group]
}

// Pools returns all pools in ascending order of name.
func (m *Manager) Pools() []*Pool {
	out := make([]*Pool, 0, len(m.names))
	for _, n := range m.names {
		out = append(out, m.pools[n])
	}
	return out
}

// Busy reports whether this VM still has work in any pool.
func (m *Manager) Busy() bool {
	for _, p := range m.pools {
		if p.Busy() {
			return true
		}
	}
	return false
}

// Run takes pools over until ctx ends.
func (m *Manager) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		changed := m.register.Changed()
		m.reconcile(ctx, group)
		select {
		case <-changed:
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
	return group.Wait()
}

// reconcile starts the takeovers that are due.
func (m *Manager) reconcile(ctx context.Context, group *errgroup.Group) {
	now := m.clock.Now()
	if m.startedAt.IsZero() {
		m.startedAt = now
	}
	if m.register.Majority() || m.majoritySeen.IsZero() {
		m.majoritySeen = now
	}
	if now.Sub(m.startedAt) < startupDelay || now.Sub(m.majoritySeen) > 0 && now.Sub(m.majoritySeen) < minorityDelay {
		return
	}
	roster := m.register.Roster()
	var unfit []string
	for _, name := range m.names {
		p := m.pools[name]
		if p.Unfit(now) {
			unfit = append(unfit, name)
		}
		if p.State() == Owning {
			// Only an attempt that failed is followed by a longer pause.
			m.nextAttempt[name] = now.Add(takeoverBackoff)
		}
		owner, ok := roster.Owner(name, nil)
		if !ok || owner.ID != m.vm || p.State() != Standby || now.Before(m.nextAttempt[name]) {
			continue
		}
		m.nextAttempt[name] = now.Add(m.backoff(p))
		group.Go(func() error {
			_ = p.Take(ctx)
			return nil
		})
	}
	m.register.SetUnfit(unfit)
}

// backoff returns the wait before the next attempt to take a pool.
func (m *Manager) backoff(p *Pool) time.Duration {
	if held := p.HeldBy(); held != "" && held != m.vm {
		return fencedBackoff
	}
	return takeoverBackoff/2 + time.Duration(m.random.Int64N(int64(takeoverBackoff)))
}
