package registrar

import (
	"context"
	"slices"
	"time"
)

const (
	// seekEvery is the time between two questions of a coordinator for a better one.
	seekEvery = time.Second
	// seekAtOnceFor is how long a new coordinator asks with every heartbeat: less
	// than the time that processes get to settle before they take pools.
	seekAtOnceFor = time.Second
)

// seek asks one other VM after the other whom it takes for the coordinator, and
// follows that one when it ranks before this VM. Two parts of a cell have a
// coordinator each after a partition has healed, and when VMs start at the same
// time and the first heartbeats find nobody listening yet.
//
// VMs that lately did not answer are asked too. One that hears of this VM in
// this way asks in its turn.
func (r *Registrar) seek(ctx context.Context, b Beat) {
	now := r.Clock.Now()
	every := seekEvery
	if now.Sub(r.coordinatesSince()) < seekAtOnceFor {
		every = 0
	}
	ranked := r.ranked(true)
	others := r.strangers(ranked)
	if now.Sub(r.sought) < every || len(others) == 0 {
		return
	}
	r.sought = now
	r.questions++
	asked := others[r.questions%len(others)]
	answer, err := r.call(ctx, asked, b)
	if err != nil {
		return
	}
	rank := func(id string) int {
		return slices.IndexFunc(ranked, func(m Member) bool { return m.ID == id })
	}
	if better := rank(answer.CoordinatorID); better < 0 || better >= rank(r.self.ID) {
		return
	}
	r.accept(now, answer)
}

// strangers returns the VMs that send this one no heartbeats, and so may follow
// another coordinator; or all others when there are none.
func (r *Registrar) strangers(ranked []Member) []Member {
	roster := r.Roster()
	var strangers, others []Member
	for _, m := range ranked {
		if m.ID == r.self.ID {
			continue
		}
		others = append(others, m)
		if _, ok := roster.Member(m.ID); !ok {
			strangers = append(strangers, m)
		}
	}
	if len(strangers) > 0 {
		return strangers
	}
	return others
}

// coordinatesSince returns when this VM began to coordinate, or the zero time.
func (r *Registrar) coordinatesSince() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.beganAt
}
