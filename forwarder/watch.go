package forwarder

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/marigoldgauge/marigoldgauge/registrar"
)

const (
	// pingInterval is the interval at which the units of work on other VMs are checked.
	pingInterval = 200 * time.Millisecond
	// slowThreshold is the wait for a response after which the VM is pinged. A
	// batch that was in transit for longer is refused.
	slowThreshold = 500 * time.Millisecond
	// pingTimeout is the timeout of a ping.
	pingTimeout = 400 * time.Millisecond
)

// MonitorVMs pings VMs with slow responses until ctx ends. If a VM does not respond to
// the ping, the units of work on it are cancelled, and new ones are relayed by
// another VM until it responds again.
func (r *Router) MonitorVMs(ctx context.Context) error {
	ticker := time.NewTicker(pingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
		var pings errgroup.Group
		for _, m := range r.pingTargets(r.clock.Now()) {
			pings.Go(func() error {
				pingCtx, cancel := context.WithTimeout(ctx, pingTimeout)
				defer cancel()
				r.recordPing(m.ID, r.client.Ping(pingCtx, m.Address))
				return nil
			})
		}
		_ = pings.Wait()
	}
}

// pingTargets returns the VMs to ping: those with a slow response, and those that
// did not respond to the last ping.
func (r *Router) pingTargets(now time.Time) []registrar.Member {
	roster := r.membership.Roster()
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []registrar.Member
	for _, m := range roster.Members {
		if r.unresponsive[m.ID] || r.isSlow(now, m.ID) {
			out = append(out, m)
		}
	}
	for id := range r.unresponsive {
		if _, ok := roster.Member(id); !ok {
			delete(r.unresponsive, id)
		}
	}
	return out
}

// isSlow reports whether a response of a VM is overdue. The caller must hold mu.
func (r *Router) isSlow(now time.Time, vm string) bool {
	for u := range r.remoteWork[vm] {
		if u.waitedFor(now) > slowThreshold {
			return true
		}
	}
	return false
}

// recordPing records the result of a ping. If the VM did not respond, the units of
// work on it are cancelled.
func (r *Router) recordPing(vm string, responded bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if responded {
		delete(r.unresponsive, vm)
		return
	}
	r.unresponsive[vm] = true
	r.cancelWork(vm)
}

// isUnresponsive reports whether a VM recently failed to respond to this VM.
func (r *Router) isUnresponsive(vm string) bool {
	r.mu.Lock()
	unresponsive := r.unresponsive[vm]
	r.mu.Unlock()
	return unresponsive || r.membership.IsSuspected(vm)
}
