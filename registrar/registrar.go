package registrar

import (
	"context"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
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
	// view identifies what this VM decides as the coordinator, and views counts them.
	view  uint64
	views uint64
	// beganAt is when this VM last began to coordinate.
	beganAt time.Time
	// followedAt is when the coordinator last answered.
	followedAt time.Time
	// relayed are the VMs that lately sent their heartbeats here instead.
	relayed    map[string]relay
	storeSeen  time.Time
	behind     uint64
	behindSet  bool
	reported   string
	noted      uint64
	leavingVMs []string
	kick       chan struct{}

	// sought is when this VM last asked for a better coordinator, and questions
	// how often; both belong to the thread that sends heartbeats.
	sought    time.Time
	questions int
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
		relayed:   map[string]relay{},
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

// Majority reports whether the roster holds more than half of the VMs that the
// platform, or the seeds, last named.
func (r *Registrar) Majority() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return 2*len(r.roster.Members) > len(r.listed)
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

// pause waits for a time.
func (r *Registrar) pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
