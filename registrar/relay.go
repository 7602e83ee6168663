package registrar

import "time"

// relay is the heartbeat of a VM that does not reach the coordinator.
type relay struct {
	member Member
	at     time.Time
}

const (
	// relayFor is how long a relayed heartbeat is passed on.
	relayFor = 500 * time.Millisecond
	// followFor is how long an answer of the coordinator vouches that it lives.
	followFor = 700 * time.Millisecond
)

// follows reports whether this VM has a living coordinator other than itself.
// The lock is held.
func (r *Registrar) follows(now time.Time) bool {
	return r.coordinates != "" && r.coordinates != r.self.ID && now.Sub(r.followedAt) < followFor
}

// passOn answers a VM that reaches this one and not the coordinator: its
// heartbeat goes on with the next one of this VM, and it gets the roster at
// hand. Two coordinators would each miss the heartbeats of the other's VMs.
// The lock is held.
func (r *Registrar) passOn(now time.Time, b Beat) Answer {
	r.relayed[b.Member.ID] = relay{member: b.Member, at: now}
	for _, id := range b.Suspects {
		if id != r.coordinates {
			r.suspects[id] = now
		}
	}
	a := Answer{Roster: r.roster, CoordinatorID: r.coordinates, Generation: r.Log.Index().Generation(), StoreSilence: now.Sub(r.storeSeen)}
	if snapshot, changes, err := r.Log.Since(b.Member.Generation); err == nil {
		a.Snapshot, a.Changes = snapshot, changes
	}
	return a
}

// relays returns the heartbeats to pass on. The lock is held.
func (r *Registrar) relays(now time.Time) []Member {
	var out []Member
	for id, x := range r.relayed {
		if now.Sub(x.at) > relayFor+Interval(len(r.roster.Members)) {
			delete(r.relayed, id)
			continue
		}
		out = append(out, x.member)
	}
	return out
}
