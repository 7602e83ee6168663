package registrar

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/marigoldgauge/marigoldgauge/explainer"
	"github.com/marigoldgauge/marigoldgauge/placer"
)

// poke sends the next heartbeat at once.
func (r *Registrar) poke() {
	select {
	case r.kick <- struct{}{}:
	default:
	}
}

// beat sends heartbeats at intervals.
func (r *Registrar) beat(ctx context.Context) error {
	for {
		r.beatOnce(ctx)
		timer := time.NewTimer(Interval(len(r.Roster().Members)))
		select {
		case <-timer.C:
		case <-r.kick:
			timer.Stop()
		case <-ctx.Done():
			timer.Stop()
			return nil
		}
	}
}

// beatOnce sends one heartbeat to the first coordinator that answers.
func (r *Registrar) beatOnce(ctx context.Context) {
	b := r.next()
	for _, m := range r.candidates() {
		sent := r.Clock.Now()
		if m.ID == r.self.ID {
			r.accept(sent, r.Handle(b))
			r.seek(ctx, b)
			return
		}
		answer, err := r.call(ctx, m, b)
		if err == nil {
			r.accept(sent, answer)
			return
		}
		if ctx.Err() != nil {
			return
		}
		r.avoid(m.ID)
	}
}

// call sends a heartbeat to a VM.
func (r *Registrar) call(ctx context.Context, m Member, b Beat) (Answer, error) {
	bounded, cancel := context.WithTimeout(ctx, beatTimeout)
	defer cancel()
	return r.Caller.Beat(bounded, m.Address, b)
}

// next returns the next heartbeat.
func (r *Registrar) next() Beat {
	generation := r.Log.Index().Generation()
	now := r.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.self.Generation = generation
	b := Beat{Member: r.self, StoreSilence: now.Sub(r.storeSeen), RosterVersion: r.roster.Version, Coordinator: r.rosterFrom, Relayed: r.relays(now)}
	for id, at := range r.suspects {
		if now.Sub(at) > suspectFor {
			delete(r.suspects, id)
			continue
		}
		b.Suspects = append(b.Suspects, id)
	}
	if r.behindSet && r.behind < generation {
		if snapshot, changes, err := r.Log.Since(r.behind); err == nil {
			b.Snapshot, b.Changes = snapshot, changes
		}
	}
	return b
}

// candidates returns the VMs to send a heartbeat to, one after the other until
// one answers: the present coordinator, then the others by rank. A process that
// has no coordinator yet asks all others before it coordinates itself.
func (r *Registrar) candidates() []Member {
	ranked := r.ranked(false)
	r.mu.Lock()
	defer r.mu.Unlock()
	first := slices.IndexFunc(ranked, func(m Member) bool { return m.ID == r.coordinates })
	if first >= 0 {
		return moved(ranked, first, 0)
	}
	if r.coordinates == "" {
		self := slices.IndexFunc(ranked, func(m Member) bool { return m.ID == r.self.ID })
		return moved(ranked, self, len(ranked)-1)
	}
	return ranked
}

// moved returns a list in which one element changed its place.
func moved(list []Member, from, to int) []Member {
	m := list[from]
	return slices.Insert(slices.Delete(list, from, from+1), to, m)
}

// ranked returns the VMs that may coordinate, the most preferred first, with or
// without those that lately did not answer.
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
		if at, ok := r.avoided[id]; ok && !silent && now.Sub(at) < avoidFor && id != r.self.ID {
			continue
		}
		ids = append(ids, id)
	}
	out := make([]Member, 0, len(ids))
	for _, id := range placer.Rank("coordinator/"+cell, ids) {
		out = append(out, known[id])
	}
	return out
}

// avoid passes a VM over as coordinator for a while.
func (r *Registrar) avoid(id string) {
	now := r.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.avoided[id] = now
	r.suspects[id] = now
}

// Handle answers a heartbeat as the coordinator.
func (r *Registrar) Handle(b Beat) Answer {
	now := r.Clock.Now()
	r.adopt(now, b.Snapshot, b.Changes, "a heartbeat of "+b.Member.ID)
	r.mu.Lock()
	defer r.mu.Unlock()
	if b.Member.ID != r.self.ID && r.follows(now) {
		return r.passOn(now, b)
	}
	if r.coordinator == nil {
		r.coordinate(now)
	}
	r.coordinator.Beat(now, b.Member)
	for _, m := range b.Relayed {
		r.coordinator.Beat(now, m)
	}
	for _, id := range b.Suspects {
		r.coordinator.Suspect(now, id)
	}
	r.heardOfStore(now.Add(-b.StoreSilence))
	a := Answer{
		Roster:        r.coordinator.Roster(now),
		Generation:    r.Log.Index().Generation(),
		StoreSilence:  now.Sub(r.storeSeen),
		Coordinator:   r.view,
		CoordinatorID: r.self.ID,
	}
	if b.Coordinator == a.Coordinator {
		if members, gone, ok := r.coordinator.Since(b.RosterVersion); ok {
			a.Difference, a.Roster.Members, a.Gone = true, members, gone
		}
	}
	if snapshot, changes, err := r.Log.Since(b.Member.Generation); err == nil {
		a.Snapshot, a.Changes = snapshot, changes
	}
	return a
}

// adopt takes configuration from a peer in and reports whether it was news.
// What cannot be read is passed over: the store has the last word.
func (r *Registrar) adopt(now time.Time, snapshot []byte, changes [][]byte, source string) bool {
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

// coordinate begins to coordinate. The lock is held.
func (r *Registrar) coordinate(now time.Time) {
	r.beganAt = now
	r.coordinator = NewCoordinator(now, r.inheritance())
	r.coordinator.SetLeaving(r.leavingVMs)
	r.views++
	r.view = xxhash.Sum64String(fmt.Sprintf("%s/%d/%d", r.self.ID, r.self.Incarnation, r.views))
}

// inheritance returns the roster that a new coordinator starts from: the one at
// hand, or all VMs that the platform and the seeds name. The lock is held.
func (r *Registrar) inheritance() Roster {
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

// accept takes the answer to a heartbeat in.
func (r *Registrar) accept(sent time.Time, a Answer) {
	now := r.Clock.Now()
	coordinator := a.CoordinatorID
	if r.adopt(now, a.Snapshot, a.Changes, "the coordinator "+coordinator) {
		r.poke()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.coordinates != coordinator {
		r.Recorder.Record(explainer.Event{At: now, Kind: "coordinator", Subject: cell, Reason: "heartbeats go to " + coordinator, Epoch: a.Roster.Version})
		r.coordinates = coordinator
		// It answers somebody now, even if it did not answer this VM before.
		delete(r.avoided, coordinator)
		r.poke()
	}
	if coordinator != r.self.ID {
		r.coordinator = nil
		r.followedAt = now
	}
	r.behind, r.behindSet = a.Generation, true
	r.heardOfStore(sent.Add(-a.StoreSilence))
	if a.Difference {
		a.Roster = r.roster.Apply(a.Roster, a.Gone)
	}
	r.rosterFrom = a.Coordinator
	r.install(a.Roster)
}

// heardOfStore notes a time at which somebody spoke to the store. The lock is held.
//
// Ages travel, not the fact of having been reached: a claim that is passed
// round would otherwise never grow old.
func (r *Registrar) heardOfStore(at time.Time) {
	if at.After(r.storeSeen) {
		r.storeSeen = at
	}
}

// install takes a roster in. The lock is held.
func (r *Registrar) install(roster Roster) {
	same := slices.EqualFunc(r.roster.Members, roster.Members, sameDuties)
	r.roster = roster
	if same {
		return
	}
	close(r.changed)
	r.changed = make(chan struct{})
}

// recordGeneration leaves an event for a generation that came in force.
func (r *Registrar) recordGeneration(now time.Time, source string) {
	g := r.Log.Index().Generation()
	r.Recorder.Record(explainer.Event{At: now, Kind: "in-force", Subject: "configuration", Reason: "received from " + source, Epoch: g})
}
