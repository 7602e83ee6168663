package registrar

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/marigoldgauge/marigoldgauge/ranker"
	"github.com/marigoldgauge/marigoldgauge/recorder"
)

// triggerHeartbeat makes the sending goroutine send the next heartbeat immediately.
func (r *Registrar) triggerHeartbeat() {
	select {
	case r.trigger <- struct{}{}:
	default:
	}
}

// runHeartbeats sends heartbeats periodically until ctx is done.
func (r *Registrar) runHeartbeats(ctx context.Context) error {
	for {
		r.sendHeartbeat(ctx)
		timer := time.NewTimer(HeartbeatInterval(len(r.Roster().Members)))
		select {
		case <-timer.C:
		case <-r.trigger:
			timer.Stop()
		case <-ctx.Done():
			timer.Stop()
			return nil
		}
	}
}

// sendHeartbeat sends one heartbeat to the first candidate that responds.
func (r *Registrar) sendHeartbeat(ctx context.Context) {
	b := r.nextHeartbeat()
	for _, m := range r.candidates() {
		sent := r.Clock.Now()
		if m.ID == r.self.ID {
			r.applyResponse(sent, r.HandleHeartbeat(b))
			r.probeForCoordinator(ctx, b)
			return
		}
		resp, err := r.sendTo(ctx, m, b)
		if err == nil {
			r.applyResponse(sent, resp)
			return
		}
		if ctx.Err() != nil {
			return
		}
		r.markUnresponsive(m.ID)
	}
}

// sendTo sends a heartbeat to a VM, with a timeout.
func (r *Registrar) sendTo(ctx context.Context, m Member, b Heartbeat) (HeartbeatResponse, error) {
	bounded, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	return r.Sender.SendHeartbeat(bounded, m.Address, b)
}

// nextHeartbeat builds the next heartbeat.
func (r *Registrar) nextHeartbeat() Heartbeat {
	generation := r.Log.Index().Generation()
	now := r.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.self.Generation = generation
	b := Heartbeat{Member: r.self, StoreContactAge: now.Sub(r.storeContactAt), RosterVersion: r.roster.Version, CoordinatorView: r.rosterView, Relayed: r.relayedMembers(now)}
	for id, at := range r.suspects {
		if now.Sub(at) > suspicionTimeout {
			delete(r.suspects, id)
			continue
		}
		b.Suspects = append(b.Suspects, id)
	}
	if r.coordinatorGenerationKnown && r.coordinatorGeneration < generation {
		if snapshot, changes, err := r.Log.Since(r.coordinatorGeneration); err == nil {
			b.Snapshot, b.Changes = snapshot, changes
		}
	}
	return b
}

// candidates returns the VMs to try in order when sending a heartbeat: the current
// coordinator, then the others by rank. A process that has no coordinator yet
// tries all other VMs before it becomes coordinator itself.
func (r *Registrar) candidates() []Member {
	ranked := r.ranked(false)
	r.mu.Lock()
	defer r.mu.Unlock()
	first := slices.IndexFunc(ranked, func(m Member) bool { return m.ID == r.coordinatorID })
	if first >= 0 {
		return moveElement(ranked, first, 0)
	}
	if r.coordinatorID == "" {
		self := slices.IndexFunc(ranked, func(m Member) bool { return m.ID == r.self.ID })
		return moveElement(ranked, self, len(ranked)-1)
	}
	return ranked
}

// moveElement moves the element at index from to index to, in place, and returns list.
func moveElement(list []Member, from, to int) []Member {
	m := list[from]
	return slices.Insert(slices.Delete(list, from, from+1), to, m)
}

// ranked returns the VMs that may become coordinator, the most preferred first.
// VMs that recently did not respond are left out unless silent is set.
func (r *Registrar) ranked(silent bool) []Member {
	now := r.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	known := map[string]Member{}
	for id, m := range r.listed {
		known[id] = m
	}
	for _, m := range r.roster.Members {
		known[m.ID] = m
	}
	known[r.self.ID] = r.self
	ids := make([]string, 0, len(known))
	for id := range known {
		if at, ok := r.unresponsive[id]; ok && !silent && now.Sub(at) < unresponsiveTimeout && id != r.self.ID {
			continue
		}
		ids = append(ids, id)
	}
	out := make([]Member, 0, len(ids))
	for _, id := range ranker.Rank("coordinator/"+cellName, ids) {
		out = append(out, known[id])
	}
	return out
}

// markUnresponsive excludes a VM as coordinator for unresponsiveTimeout and adds it to the suspects.
func (r *Registrar) markUnresponsive(id string) {
	now := r.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unresponsive[id] = now
	r.suspects[id] = now
}

// HandleHeartbeat responds to a heartbeat: as the coordinator, or as a relay if this VM
// follows a live coordinator.
func (r *Registrar) HandleHeartbeat(b Heartbeat) HeartbeatResponse {
	now := r.Clock.Now()
	r.applyConfig(now, b.Snapshot, b.Changes, "a heartbeat of "+b.Member.ID)
	r.mu.Lock()
	defer r.mu.Unlock()
	if b.Member.ID != r.self.ID && r.followsCoordinator(now) {
		return r.handleAsRelay(now, b)
	}
	if r.coordinator == nil {
		r.becomeCoordinator(now)
	}
	r.coordinator.RecordHeartbeat(now, b.Member)
	for _, m := range b.Relayed {
		r.coordinator.RecordHeartbeat(now, m)
	}
	for _, id := range b.Suspects {
		r.coordinator.Suspect(now, id)
	}
	r.recordStoreContact(now.Add(-b.StoreContactAge))
	a := HeartbeatResponse{
		Roster:          r.coordinator.Roster(now),
		Generation:      r.Log.Index().Generation(),
		StoreContactAge: now.Sub(r.storeContactAt),
		CoordinatorView: r.view,
		CoordinatorID:   r.self.ID,
	}
	if b.CoordinatorView == a.CoordinatorView {
		if members, gone, ok := r.coordinator.Since(b.RosterVersion); ok {
			a.Incremental, a.Roster.Members, a.Removed = true, members, gone
		}
	}
	if snapshot, changes, err := r.Log.Since(b.Member.Generation); err == nil {
		a.Snapshot, a.Changes = snapshot, changes
	}
	return a
}

// applyConfig applies configuration received from a peer and reports whether the
// generation in force changed. Input that cannot be decoded is ignored, because
// the store is authoritative.
func (r *Registrar) applyConfig(now time.Time, snapshot []byte, changes [][]byte, source string) bool {
	before := r.Log.Index().Generation()
	if snapshot != nil {
		_ = r.Log.Restore(snapshot)
	}
	_, _ = r.Log.Append(changes)
	if r.Log.Index().Generation() == before {
		return false
	}
	r.recordGeneration(now, source)
	return true
}

// becomeCoordinator makes this VM the coordinator with a new view. The caller must hold r.mu.
func (r *Registrar) becomeCoordinator(now time.Time) {
	r.becameCoordinatorAt = now
	r.coordinator = NewCoordinator(now, r.initialRoster())
	r.coordinator.SetLeaving(r.leavingVMs)
	r.views++
	r.view = xxhash.Sum64String(fmt.Sprintf("%s/%d/%d", r.self.ID, r.self.Incarnation, r.views))
}

// initialRoster returns the roster that a new coordinator starts from: the last one
// received, or else all other VMs that the platform's list or the seeds name.
// The caller must hold r.mu.
func (r *Registrar) initialRoster() Roster {
	if len(r.roster.Members) > 0 {
		return r.roster
	}
	var out Roster
	for _, m := range r.listed {
		if m.ID != r.self.ID {
			out.Members = append(out.Members, m)
		}
	}
	return out
}

// applyResponse applies the response to a heartbeat that was sent at sent.
func (r *Registrar) applyResponse(sent time.Time, a HeartbeatResponse) {
	now := r.Clock.Now()
	coordinator := a.CoordinatorID
	if r.applyConfig(now, a.Snapshot, a.Changes, "the coordinator "+coordinator) {
		r.triggerHeartbeat()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.coordinatorID != coordinator {
		r.Recorder.Record(recorder.Event{At: now, Kind: "coordinator", Subject: cellName, Reason: "heartbeats go to " + coordinator, Epoch: a.Roster.Version})
		r.coordinatorID = coordinator
		// The new coordinator responds to some VM now, even if it did not respond to
		// this one before.
		delete(r.unresponsive, coordinator)
		r.triggerHeartbeat()
	}
	if coordinator != r.self.ID {
		r.coordinator = nil
		r.coordinatorRespondedAt = now
	}
	r.coordinatorGeneration, r.coordinatorGenerationKnown = a.Generation, true
	r.recordStoreContact(sent.Add(-a.StoreContactAge))
	if a.Incremental {
		a.Roster = r.roster.Apply(a.Roster, a.Removed)
	}
	r.rosterView = a.CoordinatorView
	r.setRoster(a.Roster)
}

// recordStoreContact records a time at which some VM was in contact with the store.
// The caller must hold r.mu.
//
// Messages carry the age of the last contact instead of a flag, since a flag that
// VMs forward to each other would never expire.
func (r *Registrar) recordStoreContact(at time.Time) {
	if at.After(r.storeContactAt) {
		r.storeContactAt = at
	}
}

// setRoster replaces the roster and closes the changed channel if any member changed
// in a relevant way. The caller must hold r.mu.
func (r *Registrar) setRoster(roster Roster) {
	same := slices.EqualFunc(r.roster.Members, roster.Members, sameAssignment)
	r.roster = roster
	if same {
		return
	}
	close(r.changed)
	r.changed = make(chan struct{})
}

// recordGeneration records an event for a generation that came into force.
func (r *Registrar) recordGeneration(now time.Time, source string) {
	g := r.Log.Index().Generation()
	r.Recorder.Record(recorder.Event{At: now, Kind: "in-force", Subject: "configuration", Reason: "received from " + source, Epoch: g})
}
