package registrar

import (
	"context"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// retryInterval is the time between two attempts to reach the store after an error.
	retryInterval = 400 * time.Millisecond
	// heartbeatTimeout bounds a heartbeat request.
	heartbeatTimeout = 300 * time.Millisecond
	// unresponsiveTimeout is how long a VM that did not respond is excluded as coordinator.
	unresponsiveTimeout = 2 * time.Second
	// listInterval is the interval at which the coordinator reads the platform's list of VMs.
	listInterval = 2 * time.Second
	// deputyListInterval is that interval for the other VMs that watch the store.
	deputyListInterval = 6 * time.Second
	// watchTimeout is the maximum wait of one watch request.
	watchTimeout = 30 * time.Second
	// storeTimeout is the time without contact to the store after which each further VM
	// starts to watch it, and the delay after a failed status report.
	storeTimeout = 6 * time.Second
	// reportInterval is the minimum time between two status reports.
	reportInterval = 200 * time.Millisecond
	// watcherCount is the number of VMs of a cell that watch the store in normal operation.
	watcherCount = 2
	// cellName is the name of the only cell.
	cellName = "fleet"
)

// Registrar takes part in a cell on behalf of one VM: it sends and handles
// heartbeats, and watches the store when it is this VM's turn.
//
// A Registrar is safe for concurrent use.
type Registrar struct {
	Dependencies

	mu            sync.Mutex
	self          Member
	listed        map[string]Member
	roster        Roster
	changed       chan struct{}
	unresponsive  map[string]time.Time
	suspects      map[string]time.Time
	coordinator   *Coordinator
	coordinatorID string
	rosterView    uint64
	// view identifies this VM's current view as the coordinator, and views counts its
	// views so far.
	view  uint64
	views uint64
	// becameCoordinatorAt is the time at which this VM last became coordinator.
	becameCoordinatorAt time.Time
	// coordinatorRespondedAt is the time at which the coordinator last responded.
	coordinatorRespondedAt time.Time
	// relayed holds the VMs that recently sent their heartbeats to this VM instead of
	// the coordinator.
	relayed                    map[string]relayedHeartbeat
	storeContactAt             time.Time
	coordinatorGeneration      uint64
	coordinatorGenerationKnown bool
	lastStatus                 string
	lastInForce                uint64
	leavingVMs                 []string
	trigger                    chan struct{}

	// probedAt is the time at which this VM, as coordinator, last probed another VM for
	// a better one, and questions counts the probes. Only the goroutine that sends
	// heartbeats uses them.
	probedAt   time.Time
	probeCount int
}

// New returns a Registrar that initially knows this VM and its seeds.
func New(p Dependencies) *Registrar {
	r := &Registrar{
		Dependencies:   p,
		self:           p.Self,
		storeContactAt: p.Clock.Now(),
		listed:         map[string]Member{p.Self.ID: p.Self},
		changed:        make(chan struct{}),
		unresponsive:   map[string]time.Time{},
		suspects:       map[string]time.Time{},
		trigger:        make(chan struct{}, 1),
		relayed:        map[string]relayedHeartbeat{},
	}
	for _, s := range p.Seeds {
		r.listed[s.ID] = s
	}
	return r
}

// Run takes part in the cell until ctx is done.
func (r *Registrar) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return r.runHeartbeats(ctx) })
	group.Go(func() error { return r.watch(ctx) })
	group.Go(func() error { return r.listVMs(ctx) })
	group.Go(func() error { return r.reportStatus(ctx) })
	return group.Wait()
}

// Roster returns the current roster.
func (r *Registrar) Roster() Roster {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.roster
}

// HasMajority reports whether the roster holds more than half of the VMs in the last
// list of the platform, or in the seeds until that was read.
func (r *Registrar) HasMajority() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return 2*len(r.roster.Members) > len(r.listed)
}

// Changed returns a channel that is closed at the next relevant roster change.
func (r *Registrar) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// Coordinator returns the ID of the VM that this VM follows as coordinator, or an
// empty string if there is none yet.
func (r *Registrar) Coordinator() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.coordinatorID
}

// Leave marks this VM as leaving, so that it gets no more work.
func (r *Registrar) Leave() {
	r.mu.Lock()
	r.self.Leaving = true
	r.mu.Unlock()
	r.triggerHeartbeat()
}

// SetUnfitGroups sets the groups whose primary this VM cannot reach while other VMs can.
func (r *Registrar) SetUnfitGroups(groups []string) {
	r.mu.Lock()
	same := slices.Equal(r.self.UnfitGroups, groups)
	r.self.UnfitGroups = groups
	r.mu.Unlock()
	if !same {
		r.triggerHeartbeat()
	}
}

// Suspect marks a VM as unresponsive for suspicionTimeout and reports it to the
// coordinator.
func (r *Registrar) Suspect(id string) {
	now := r.Clock.Now()
	r.mu.Lock()
	r.suspects[id] = now
	r.mu.Unlock()
	r.triggerHeartbeat()
}

// IsSuspected reports whether a VM recently did not respond to this one.
func (r *Registrar) IsSuspected(id string) bool {
	now := r.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	at, ok := r.suspects[id]
	return ok && now.Sub(at) < suspicionTimeout
}

// suspicionTimeout is how long a VM that did not respond is excluded as a pool owner.
const suspicionTimeout = 500 * time.Millisecond

// pause waits for d or until ctx is done.
func (r *Registrar) pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
