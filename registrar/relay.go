package registrar

import "time"

// relayedHeartbeat is the heartbeat of a VM that cannot reach the coordinator.
type relayedHeartbeat struct {
	member     Member
	receivedAt time.Time
}

const (
	// relayTimeout is how long, beyond one heartbeat interval, a received heartbeat is
	// forwarded to the coordinator.
	relayTimeout = 500 * time.Millisecond
	// coordinatorTimeout is how long the coordinator counts as live after a response.
	coordinatorTimeout = 700 * time.Millisecond
)

// followsCoordinator reports whether this VM has a live coordinator other than itself.
// The caller must hold r.mu.
func (r *Registrar) followsCoordinator(now time.Time) bool {
	return r.coordinatorID != "" && r.coordinatorID != r.self.ID && now.Sub(r.coordinatorRespondedAt) < coordinatorTimeout
}

// handleAsRelay responds to a VM that can reach this VM but not the coordinator: the
// heartbeat is forwarded with this VM's next one, and the response carries the
// current roster. If this VM became a second coordinator instead, each of the two
// would miss the heartbeats of the other's VMs. The caller must hold r.mu.
func (r *Registrar) handleAsRelay(now time.Time, b Heartbeat) HeartbeatResponse {
	r.relayed[b.Member.ID] = relayedHeartbeat{member: b.Member, receivedAt: now}
	for _, id := range b.Suspects {
		if id != r.coordinatorID {
			r.suspects[id] = now
		}
	}
	a := HeartbeatResponse{Roster: r.roster, CoordinatorID: r.coordinatorID, Generation: r.Log.Index().Generation(), StoreContactAge: now.Sub(r.storeContactAt)}
	if snapshot, changes, err := r.Log.Since(b.Member.Generation); err == nil {
		a.Snapshot, a.Changes = snapshot, changes
	}
	return a
}

// relayedMembers returns the members whose heartbeats are to be forwarded to the
// coordinator. The caller must hold r.mu.
func (r *Registrar) relayedMembers(now time.Time) []Member {
	var out []Member
	for id, hb := range r.relayed {
		if now.Sub(hb.receivedAt) > relayTimeout+HeartbeatInterval(len(r.roster.Members)) {
			delete(r.relayed, id)
			continue
		}
		out = append(out, hb.member)
	}
	return out
}
