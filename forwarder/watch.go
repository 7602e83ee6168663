package forwarder

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/marigoldgauge/marigoldgauge/registrar"
)

const (
	// watchEvery is the time between two looks at the units of work at other VMs.
	watchEvery = 200 * time.Millisecond
	// waitBefore is the wait for an answer after which its VM is pinged.
	waitBefore = 500 * time.Millisecond
	// pingTimeout bounds a ping.
	pingTimeout = 400 * time.Millisecond
)

// Watch pings the VMs that keep this one waiting, until ctx ends. From one that
// does not answer, the units of work are taken back, and others go through
// another VM until it answers again.
func (r *Router) Watch(ctx context.Context) error {
	ticker := time.NewTicker(watchEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
		var pings errgroup.Group
		for _, m := range r.slow(r.clock.Now()) {
			pings.Go(func() error {
				bounded, cancel := context.WithTimeout(ctx, pingTimeout)
				defer cancel()
				r.pinged(m.ID, r.caller.Ping(bounded, m.Address))
				return nil
			})
		}
		_ = pings.Wait()
	}
}

// slow returns the VMs to ping: those that keep a unit of work waiting, and
// those that did not answer before.
func (r *Router) slow(now time.Time) []registrar.Member {
	roster := r.register.Roster()
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []registrar.Member
	for _, m := range roster.Members {
		if r.silent[m.ID] || r.keepsWaiting(now, m.ID) {
			out = append(out, m)
		}
	}
	for id := range r.silent {
		if _, ok := roster.Member(id); !ok {
			delete(r.silent, id)
		}
	}
	return out
}

// keepsWaiting reports whether a unit of work waits long for a VM. The lock is held.
func (r *Router) keepsWaiting(now time.Time, vm string) bool {
	for u := range r.remotes[vm] {
		if u.waitedFor(now) > waitBefore {
			return true
		}
	}
	return false
}

// pinged takes the outcome of a ping in.
func (r *Router) pinged(vm string, answered bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if answered {
		delete(r.silent, vm)
		return
	}
	r.silent[vm] = true
	r.breakOff(vm)
}

// avoids reports whether a VM lately did not answer this one.
func (r *Router) avoids(vm string) bool {
	r.mu.Lock()
	silent := r.silent[vm]
	r.mu.Unlock()
	return silent || r.register.IsSuspected(vm)
}
