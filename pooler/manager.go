package pooler

import (
	"context"
	"math/rand/v2"
	"sort"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/marigoldgauge/marigoldgauge/registrar"
	"github.com/marigoldgauge/marigoldgauge/timekeeper"
)

const (
	// startupDelay is the time that a new process waits to learn the roster before
	// it takes over pools: until then, every pool appears to have no owner.
	startupDelay = 1200 * time.Millisecond
	// minorityDelay is how long a VM that sees only a minority of the VMs takes over
	// no pool: it is more likely to be partitioned than to be the last one alive.
	minorityDelay = time.Minute
	// reconcileInterval is the interval between two checks of which VM should own each pool.
	reconcileInterval = 100 * time.Millisecond
	// takeoverBackoff is the mean backoff after a failed takeover.
	takeoverBackoff = 300 * time.Millisecond
	// fencedBackoff is the backoff after another VM has taken over a pool.
	fencedBackoff = 3 * time.Second
)

// Membership provides the roster of VMs to the Manager.
type Membership interface {
	// Roster returns the current roster.
	Roster() registrar.Roster
	// HasMajority reports whether the roster contains more than half of the expected VMs.
	HasMajority() bool
	// Changed returns a channel that is closed when the roster changes.
	Changed() <-chan struct{}
	// SetUnfitGroups sets the groups whose primary this VM cannot reach while other VMs can.
	SetUnfitGroups(groups []string)
}

// Manager takes over the pools that this VM should own.
type Manager struct {
	vm           string
	register     Membership
	clock        timekeeper.Clock
	random       *rand.Rand
	pools        map[string]*Pool
	names        []string
	nextAttempt  map[string]time.Time
	startedAt    time.Time
	majoritySeen time.Time
}

// NewManager returns a Manager of pools. The seed is for the jitter of the
// takeover backoff.
func NewManager(vm string, r Membership, c timekeeper.Clock, seed uint64, pools []*Pool) *Manager {
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

// Pools returns all pools in ascending order of group name.
func (m *Manager) Pools() []*Pool {
	out := make([]*Pool, 0, len(m.names))
	for _, n := range m.names {
		out = append(out, m.pools[n])
	}
	return out
}

// Busy reports whether this VM still owns or is releasing any pool.
func (m *Manager) Busy() bool {
	for _, p := range m.pools {
		if p.Busy() {
			return true
		}
	}
	return false
}

// Run takes over pools until ctx is done.
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

// reconcile starts the takeovers of the pools that this VM should own.
func (m *Manager) reconcile(ctx context.Context, group *errgroup.Group) {
	now := m.clock.Now()
	if m.startedAt.IsZero() {
		m.startedAt = now
	}
	if m.register.HasMajority() || m.majoritySeen.IsZero() {
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
			// The longer backoff applies only after a failed attempt.
			m.nextAttempt[name] = now.Add(takeoverBackoff)
		}
		owner, ok := roster.PoolOwner(name, nil)
		if !ok || owner.ID != m.vm || p.State() != Standby || now.Before(m.nextAttempt[name]) {
			continue
		}
		m.nextAttempt[name] = now.Add(m.backoff(p))
		group.Go(func() error {
			_ = p.TakeOver(ctx)
			return nil
		})
	}
	m.register.SetUnfitGroups(unfit)
}

// backoff returns the wait before the next attempt to take over a pool.
func (m *Manager) backoff(p *Pool) time.Duration {
	if owner := p.KnownOwner(); owner != "" && owner != m.vm {
		return fencedBackoff
	}
	return takeoverBackoff/2 + time.Duration(m.random.Int64N(int64(takeoverBackoff)))
}
