package registrar

import (
	"context"
	"encoding/json"
	"errors"
	"net/netip"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/marigoldgauge/marigoldgauge/clocker"
	"github.com/marigoldgauge/marigoldgauge/explainer"
	"github.com/marigoldgauge/marigoldgauge/governor"
	"github.com/marigoldgauge/marigoldgauge/keeper"
	"github.com/marigoldgauge/marigoldgauge/placer"
)

const (
	// retryEvery is the time between two attempts to reach the store.
	retryEvery = 400 * time.Millisecond
	// beatTimeout bounds a heartbeat.
	beatTimeout = 300 * time.Millisecond
	// avoidFor is how long a VM that did not answer is passed over.
	avoidFor = 2 * time.Second
	// listEvery is the time between two looks of the coordinator at the platform's list.
	listEvery = 2 * time.Second
	// deputyListEvery is the time between two looks of the others that watch the store.
	deputyListEvery = 6 * time.Second
	// watchFor is the longest wait of a watch.
	watchFor = 30 * time.Second
	// storeLapse is the silence of the store after which a further VM watches it.
	storeLapse = 6 * time.Second
	// reportEvery is the shortest time between two status reports.
	reportEvery = 200 * time.Millisecond
	// watchers is the number of VMs of a cell that watch the store.
	watchers = 2
	// cell names the only cell.
	cell = "fleet"
)

// Store is the part of the platform's store that a Registrar needs.
type Store interface {
	governor.Store
	// VMs returns the platform's lagging list of VMs.
	VMs(ctx context.Context) ([]keeper.VM, error)
}

// Caller sends heartbeats.
type Caller interface {
	// Beat sends a heartbeat to a VM.
	Beat(ctx context.Context, to netip.AddrPort, b Beat) (Answer, error)
}

// Parts are what a Registrar is built from.
type Parts struct {
	// Self is this VM.
	Self Member
	// Seeds are VMs to start from while the platform's list is not at hand.
	Seeds []Member
	// Store is the platform's store.
	Store Store
	// Caller sends heartbeats.
	Caller Caller
	// Log is the configuration in force.
	Log *governor.Log
	// Clock tells the present time.
	Clock clocker.Clock
	// Recorder takes the decisions.
	Recorder *explainer.Recorder
}

// Registrar is the part of a VM that takes part in its cell.
//
// A Registrar is safe for concurrent use.
type Registrar struct {
	Parts

	mu          sync.Mutex
	self        Member
	listed      map[string]Member
	roster      Roster
	changed     chan struct{}
	avoided     map[string]time.Time
	suspects    map[string]time.Time
	coordinator *Coordinator
	coordinates string
	rosterFrom  uint64
	storeSeen   time.Time
	behind      uint64
	behindSet   bool
	reported    string
	noted       uint64
	leavingVMs  []string
	kick        chan struct{}
}

// New returns a Registrar that knows itself and its seeds.
func New(p Parts) *Registrar {
	r := &Registrar{
		Parts:     p,
		self:      p.Self,
		storeSeen: p.Clock.Now(),
		listed:    map[string]Member{p.Self.ID: p.Self},
		changed:   make(chan struct{}),
		avoided:   map[string]time.Time{},
		suspects:  map[string]time.Time{},
		kick:      make(chan struct{}, 1),
	}
	for _, s := range p.Seeds {
		r.listed[s.ID] = s
	}
	return r
}

// Run takes part in the cell until ctx ends.
func (r *Registrar) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return r.beat(ctx) })
	group.Go(func() error { return r.watch(ctx) })
	group.Go(func() error { return r.list(ctx) })
	group.Go(func() error { return r.report(ctx) })
	return group.Wait()
}

// Roster returns the roster at hand.
func (r *Registrar) Roster() Roster {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.roster
}

// Changed returns a channel that is closed when the roster changes.
func (r *Registrar) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// Coordinator returns the VM that this one takes for the coordinator.
func (r *Registrar) Coordinator() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.coordinates
}

// Leave makes this VM take no more work.
func (r *Registrar) Leave() {
	r.mu.Lock()
	r.self.Leaving = true
	r.mu.Unlock()
	r.poke()
}

// SetUnfit names the groups whose primary this VM cannot reach while others can.
func (r *Registrar) SetUnfit(groups []string) {
	r.mu.Lock()
	same := slices.Equal(r.self.UnfitGroups, groups)
	r.self.UnfitGroups = groups
	r.mu.Unlock()
	if !same {
		r.poke()
	}
}

// Suspect passes a VM over for a while and tells the coordinator.
func (r *Registrar) Suspect(id string) {
	now := r.Clock.Now()
	r.mu.Lock()
	r.suspects[id] = now
	r.mu.Unlock()
	r.poke()
}

// Suspected reports whether a VM lately did not answer this one.
func (r *Registrar) Suspected(id string) bool {
	now := r.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	at, ok := r.suspects[id]
	return ok && now.Sub(at) < suspectFor
}

// suspectFor is how long a VM that did not answer is passed over as an owner.
const suspectFor = 500 * time.Millisecond

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
			r.accept(m.ID, sent, r.Handle(b))
			return
		}
		bounded, cancel := context.WithTimeout(ctx, beatTimeout)
		answer, err := r.Caller.Beat(bounded, m.Address, b)
		cancel()
		if err == nil {
			r.accept(m.ID, sent, answer)
			return
		}
		if ctx.Err() != nil {
			return
		}
		r.avoid(m.ID)
	}
}

// next returns the next heartbeat.
func (r *Registrar) next() Beat {
	generation := r.Log.Index().Generation()
	now := r.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.self.Generation = generation
	b := Beat{Member: r.self, StoreSilence: now.Sub(r.storeSeen), RosterVersion: r.roster.Version, Coordinator: r.rosterFrom}
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

// candidates returns the VMs that may coordinate, the most preferred first.
func (r *Registrar) candidates() []Member {
	now := r.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	known := map[string]Member{r.self.ID: r.self}
	for id, m := range r.listed {
		known[id] = m
	}
	for _, m := range r.roster.Members {
		known[m.ID] = m
	}
	ids := make([]string, 0, len(known))
	for id := range known {
		if at, ok := r.avoided[id]; ok && now.Sub(at) < avoidFor && id != r.self.ID {
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
	if r.coordinator == nil {
		r.coordinator = NewCoordinator(now, r.inheritance())
		r.coordinator.SetLeaving(r.leavingVMs)
	}
	r.coordinator.Beat(now, b.Member)
	for _, id := range b.Suspects {
		r.coordinator.Suspect(now, id)
	}
	r.heardOfStore(now.Add(-b.StoreSilence))
	a := Answer{
		Roster:       r.coordinator.Roster(now),
		Generation:   r.Log.Index().Generation(),
		StoreSilence: now.Sub(r.storeSeen),
		Coordinator:  r.self.Incarnation,
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
func (r *Registrar) accept(coordinator string, sent time.Time, a Answer) {
	now := r.Clock.Now()
	if r.adopt(now, a.Snapshot, a.Changes, "the coordinator "+coordinator) {
		r.poke()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.coordinates != coordinator {
		r.Recorder.Record(explainer.Event{At: now, Kind: "coordinator", Subject: cell, Reason: "heartbeats go to " + coordinator, Epoch: a.Roster.Version})
		r.coordinates = coordinator
	}
	if coordinator != r.self.ID {
		r.coordinator = nil
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

// rank returns the place of this VM among the possible coordinators.
func (r *Registrar) rank() int {
	for n, m := range r.candidates() {
		if m.ID == r.self.ID {
			return n
		}
	}
	return 0
}

// watching reports whether this VM watches the store: the coordinator and its
// deputy do, and others one after the other while nobody of the cell reaches it.
func (r *Registrar) watching() bool {
	rank := r.rank()
	if rank < watchers {
		return true
	}
	now := r.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	return now.Sub(r.storeSeen) > storeLapse*time.Duration(rank-watchers+1)
}

// watch reads the accepted changes from the store while it is this VM's turn.
func (r *Registrar) watch(ctx context.Context) error {
	board := governor.NewBoard(r.Store)
	loaded := false
	var after uint64
	for ctx.Err() == nil {
		if !r.watching() {
			loaded = false
			r.pause(ctx, retryEvery/2)
			continue
		}
		if !loaded {
			revision, err := r.load(ctx, board)
			if err != nil {
				r.pause(ctx, retryEvery)
				continue
			}
			loaded, after = true, revision
		}
		page, err := r.Store.Watch(ctx, governor.ChangePrefix, after, watchFor)
		switch {
		case err != nil:
			r.pause(ctx, retryEvery)
		case page.TooOld:
			loaded = false
		default:
			r.saw(page)
			after = page.Revision
		}
	}
	return nil
}

// load reads the whole configuration and returns the revision to watch from.
func (r *Registrar) load(ctx context.Context, board *governor.Board) (uint64, error) {
	page, err := r.Store.List(ctx, governor.ChangePrefix)
	if err != nil {
		return 0, err
	}
	if len(page.Objects) > 0 {
		state, _, err := board.Load(ctx)
		if err != nil {
			return 0, err
		}
		snapshot, err := json.Marshal(state)
		if err != nil {
			return 0, err
		}
		if err := r.Log.Restore(snapshot); err != nil {
			return 0, err
		}
	}
	r.saw(keeper.Page{})
	return page.Revision, nil
}

// saw takes changes from the store in.
func (r *Registrar) saw(page keeper.Page) {
	now := r.Clock.Now()
	values := make([][]byte, 0, len(page.Objects))
	for _, o := range page.Objects {
		values = append(values, o.Value)
	}
	if n, err := r.Log.Append(values); err == nil && n > 0 {
		r.recordGeneration(now, "the store")
		r.poke()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.storeSeen = now
}

// list reads the platform's list of VMs while it is this VM's turn.
func (r *Registrar) list(ctx context.Context) error {
	for ctx.Err() == nil {
		if r.watching() {
			if vms, err := r.Store.VMs(ctx); err == nil {
				r.sawVMs(vms)
			}
		}
		wait := deputyListEvery
		if r.rank() == 0 {
			wait = listEvery
		}
		r.pause(ctx, wait)
	}
	return nil
}

// sawVMs takes the platform's list in.
func (r *Registrar) sawVMs(vms []keeper.VM) {
	now := r.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.storeSeen = now
	r.listed = map[string]Member{r.self.ID: r.self}
	r.leavingVMs = nil
	for _, vm := range vms {
		r.listed[vm.ID] = Member{ID: vm.ID, Address: vm.Address, AvailabilityZone: vm.AvailabilityZone, Leaving: vm.Leaving}
		if vm.Leaving {
			r.leavingVMs = append(r.leavingVMs, vm.ID)
		}
	}
	if r.coordinator != nil {
		r.coordinator.SetLeaving(r.leavingVMs)
	}
}

// report writes the generations in force to the store while this VM coordinates.
func (r *Registrar) report(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := r.reportOnce(ctx); err != nil {
			r.mu.Lock()
			r.reported = ""
			r.mu.Unlock()
			r.pause(ctx, storeLapse)
		}
		r.pause(ctx, reportEvery)
	}
	return nil
}

// reportOnce writes the news, and notes a generation that came in force everywhere.
func (r *Registrar) reportOnce(ctx context.Context) error {
	value, ok := r.statusReport()
	if !ok {
		return nil
	}
	if _, err := r.Store.Put(ctx, governor.StatusPrefix+cell, []byte(value), keeper.Condition{}); err != nil {
		return err
	}
	note, ok := r.noteInForce()
	if !ok {
		return nil
	}
	raw, err := json.Marshal(note)
	if err != nil {
		return err
	}
	_, err = r.Store.Put(ctx, governor.InForceKey(note.Generation), raw, keeper.Condition{Absent: true})
	if errors.Is(err, keeper.ErrConflict) {
		return nil
	}
	return err
}

// noteInForce returns the generation that came in force on all VMs since the last call.
func (r *Registrar) noteInForce() (governor.InForce, bool) {
	now := r.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.coordinator == nil {
		return governor.InForce{}, false
	}
	s := status(r.coordinator.Roster(now))
	least := s.Least()
	if least <= r.noted {
		return governor.InForce{}, false
	}
	r.noted = least
	return governor.InForce{Generation: least, At: now.UTC(), VMs: len(s.Members)}, true
}

// status returns the report about a roster.
func status(roster Roster) governor.Status {
	s := governor.Status{}
	for _, m := range roster.Members {
		s.Members = append(s.Members, governor.MemberStatus{VM: m.ID, AvailabilityZone: m.AvailabilityZone, Generation: m.Generation, Leaving: m.Leaving})
	}
	return s
}

// statusReport returns the report of this coordinator when it has news.
func (r *Registrar) statusReport() (string, bool) {
	now := r.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.coordinator == nil || r.coordinates != r.self.ID {
		return "", false
	}
	raw, err := json.Marshal(status(r.coordinator.Roster(now)))
	if err != nil || string(raw) == r.reported {
		return "", false
	}
	r.reported = string(raw)
	return r.reported, true
}

// pause waits for a time.
func (r *Registrar) pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
