// Package forwarder forwards units of work to the owner of a group's pool, on
// this VM or another one, and retries batches that certainly did not run.
package forwarder

import (
	"context"
	"sync"

	"github.com/marigoldgauge/marigoldgauge/coder"
	"github.com/marigoldgauge/marigoldgauge/pooler"
	"github.com/marigoldgauge/marigoldgauge/registrar"
	"github.com/marigoldgauge/marigoldgauge/retrier"
	"github.com/marigoldgauge/marigoldgauge/timekeeper"
)

// unit is a unit of work on one owner.
type unit interface {
	// Exchange runs one batch and forwards the response to the sink.
	Exchange(ctx context.Context, b *pooler.Batch, sink pooler.Sink) (pooler.Result, error)
	// Close releases the unit of work. An open transaction is rolled back.
	Close()
	// Cancel interrupts the running batch.
	Cancel(ctx context.Context) error
}

// Router routes units of work to the owners of pools.
type Router struct {
	self       string
	client     *Client
	membership Membership
	local      func(group string) *pooler.Pool
	clock      timekeeper.Clock
	budgets    *retrier.Budgets

	mu         sync.Mutex
	remoteWork map[string]map[*remoteWork]struct{}
	// unresponsive holds the VMs that did not respond to the last ping.
	unresponsive map[string]bool
}

// NewRouter returns the Router of a VM. The function local returns the pool of a
// group on this VM.
func NewRouter(self string, c *Client, r Membership, local func(group string) *pooler.Pool, clock timekeeper.Clock) *Router {
	return &Router{self: self, client: c, membership: r, local: local, clock: clock, budgets: retrier.NewBudgets(), remoteWork: map[string]map[*remoteWork]struct{}{}, unresponsive: map[string]bool{}}
}

// Open returns a unit of work. The work starts with the first batch.
func (r *Router) Open(a pooler.WorkSpec) *Work {
	return &Work{router: r, ask: a}
}

// openUnit opens a unit of work on the VM that should own the pool. If that VM
// does not respond to this one, a third VM relays the work.
func (r *Router) openUnit(a pooler.WorkSpec) (u unit, owner string, err error) {
	pool := r.local(a.Group)
	if pool == nil {
		return nil, "", coder.New(coder.RouteUnknown, "no group "+a.Group)
	}
	if pool.State() == pooler.Owning {
		return pool.Open(a), r.self, nil
	}
	m, ok := r.membership.Roster().PoolOwner(a.Group, nil)
	switch {
	case !ok:
		return nil, "", coder.New(coder.OwnerUnavailable, "no VM owns the pool of "+a.Group)
	case m.ID == r.self && a.Relayed:
		return nil, "", coder.New(coder.OwnerMoved, "no other VM owns the pool of "+a.Group)
	case m.ID == r.self:
		return pool.Open(a), r.self, nil
	}
	if relay, ok := r.findRelay(a, m); ok {
		m = relay
	}
	return &remoteWork{router: r, client: r.client, vm: m.ID, address: m.Address, ask: a}, m.ID, nil
}

// findRelay returns another VM that may reach an owner that does not respond to
// this VM.
func (r *Router) findRelay(a pooler.WorkSpec, owner registrar.Member) (registrar.Member, bool) {
	if a.Relayed || !r.isUnresponsive(owner.ID) {
		return registrar.Member{}, false
	}
	return r.membership.Roster().PoolOwner(a.Group, func(id string) bool {
		return id == owner.ID || id == r.self || r.isUnresponsive(id)
	})
}

// track adds a unit of work on another VM.
func (r *Router) track(u *remoteWork) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.remoteWork[u.vm] == nil {
		r.remoteWork[u.vm] = map[*remoteWork]struct{}{}
	}
	r.remoteWork[u.vm][u] = struct{}{}
}

// untrack removes a unit of work on another VM.
func (r *Router) untrack(u *remoteWork) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.remoteWork[u.vm], u)
	if len(r.remoteWork[u.vm]) == 0 {
		delete(r.remoteWork, u.vm)
	}
}

// CancelRemoved cancels the units of work on VMs that are not on the roster. A VM that
// is paused or partitioned would block them.
func (r *Router) CancelRemoved(roster registrar.Roster) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for vm := range r.remoteWork {
		if _, ok := roster.Member(vm); !ok {
			r.cancelWork(vm)
		}
	}
}

// cancelWork cancels the units of work on a VM. The caller must hold mu.
func (r *Router) cancelWork(vm string) {
	for u := range r.remoteWork[vm] {
		u.cancel()
	}
}
