package registrar

import (
	"context"
	"slices"
	"time"
)

const (
	// probeInterval is the interval at which a coordinator probes other VMs for a better
	// coordinator.
	probeInterval = time.Second
	// eagerProbePeriod is how long a new coordinator probes with every heartbeat instead.
	// It is less than the time that processes wait before they take over pools.
	eagerProbePeriod = time.Second
)

// probeForCoordinator sends a heartbeat to one other VM, a different one at each call, and follows
// the coordinator named in the response if it ranks before this VM. It merges two
// parts of a cell that have a coordinator each, as after a network partition, or
// when VMs start at the same time and do not listen yet when the first heartbeats
// are sent.
//
// VMs that recently did not respond are probed too. A coordinator that learns of
// this VM from the heartbeat probes it in turn.
func (r *Registrar) probeForCoordinator(ctx context.Context, b Heartbeat) {
	now := r.Clock.Now()
	interval := probeInterval
	if now.Sub(r.coordinatorSince()) < eagerProbePeriod {
		interval = 0
	}
	ranked := r.ranked(true)
	others := r.probeTargets(ranked)
	if now.Sub(r.probedAt) < interval || len(others) == 0 {
		return
	}
	r.probedAt = now
	r.probeCount++
	target := others[r.probeCount%len(others)]
	resp, err := r.sendTo(ctx, target, b)
	if err != nil {
		return
	}
	rank := func(id string) int {
		return slices.IndexFunc(ranked, func(m Member) bool { return m.ID == id })
	}
	if better := rank(resp.CoordinatorID); better < 0 || better >= rank(r.self.ID) {
		return
	}
	r.applyResponse(now, resp)
}

// probeTargets returns the VMs that are not on the roster and so may follow another
// coordinator, or all other VMs if there are none.
func (r *Registrar) probeTargets(ranked []Member) []Member {
	roster := r.Roster()
	var unlisted, others []Member
	for _, m := range ranked {
		if m.ID == r.self.ID {
			continue
		}
		others = append(others, m)
		if _, ok := roster.Member(m.ID); !ok {
			unlisted = append(unlisted, m)
		}
	}
	if len(unlisted) > 0 {
		return unlisted
	}
	return others
}

// coordinatorSince returns the time at which this VM last became coordinator, or
// the zero time.
func (r *Registrar) coordinatorSince() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.becameCoordinatorAt
}
