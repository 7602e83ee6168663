// Package forwarder carries units of work to the owner of a group's pool, on
// this VM or another one, and repeats what certainly did not run.
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

// unit is a unit of work at one owner.
type unit interface {
	// Exchange runs one batch.
	Exchange(ctx context.Context, b *pooler.Batch, sink pooler.Sink) (pooler.Result, error)
	// Close lets go of the unit; an open transaction is rolled back.
	Close()
	// Cancel interrupts the running batch.
	Cancel(ctx context.Context) error
}

// Router finds the owner of a pool.
type Router struct {
	self     string
	caller   *Caller
	register Register
	local    func(group string) *pooler.Pool
	clock    timekeeper.Clock
	budgets  *retrier.Budgets

	mu      sync.Mutex
	remotes map[string]map[*remote]struct{}
	// silent are the VMs that did not answer the last ping.
	silent map[string]bool
}

// NewRouter returns the Router of a VM; local returns its own pools.
func NewRouter(self string, c *Caller, r Register, local func(group string) *pooler.Pool, clock timekeeper.Clock) *Router {
	return &Router{self: self, caller: c, register: r, local: local, clock: clock, budgets: retrier.NewBudgets(), remotes: map[string]map[*remote]struct{}{}, silent: map[string]bool{}}
}

// Open returns a unit of work, which starts with its first batch.
func (r *Router) Open(a pooler.Ask) *Work {
	return &Work{router: r, ask: a}
}

// place opens a unit of work at the VM that should own the pool.
func (r *Router) place(a pooler.Ask) (u unit, owner string, err error) {
	pool := r.local(a.Group)
	if pool == nil {
		return nil, "", coder.New(coder.RouteUnknown, "no group "+a.Group)
	}
	if pool.State() == pooler.Owning {
		return pool.Open(a), r.self, nil
	}
	m, ok := r.register.Roster().PoolOwner(a.Group, nil)
	switch {
	case !ok:
		return nil, "", coder.New(coder.OwnerUnavailable, "no VM owns the pool of "+a.Group)
	case m.ID == r.self && a.Relayed:
		return nil, "", coder.New(coder.OwnerMoved, "no other VM owns the pool of "+a.Group)
	case m.ID == r.self:
		return pool.Open(a), r.self, nil
	}
	if via, ok := r.detour(a, m); ok {
		m = via
	}
	return &remote{router: r, caller: r.caller, vm: m.ID, to: m.Address, ask: a}, m.ID, nil
}

// detour returns another VM through which an owner that does not answer this
// one may be reached.
func (r *Router) detour(a pooler.Ask, owner registrar.Member) (registrar.Member, bool) {
	if a.Relayed || !r.avoids(owner.ID) {
		return registrar.Member{}, false
	}
	return r.register.Roster().PoolOwner(a.Group, func(id string) bool {
		return id == owner.ID || id == r.self || r.avoids(id)
	})
}

// enter notes a unit of work at another VM.
func (r *Router) enter(u *remote) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.remotes[u.vm] == nil {
		r.remotes[u.vm] = map[*remote]struct{}{}
	}
	r.remotes[u.vm][u] = struct{}{}
}

// leave forgets a unit of work at another VM.
func (r *Router) leave(u *remote) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.remotes[u.vm], u)
	if len(r.remotes[u.vm]) == 0 {
		delete(r.remotes, u.vm)
	}
}

// Abandon breaks off the units of work at VMs that are not on the roster: a VM
// that is paused or cut off would keep them waiting.
func (r *Router) Abandon(roster registrar.Roster) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for vm := range r.remotes {
		if _, ok := roster.Member(vm); !ok {
			r.breakOff(vm)
		}
	}
}

// breakOff takes back the units of work at a VM. The lock is held.
func (r *Router) breakOff(vm string) {
	for u := range r.remotes[vm] {
		u.cancel()
	}
}
