package pooler

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/marigoldgauge/marigoldgauge/allocator"
	"github.com/marigoldgauge/marigoldgauge/coder"
	"github.com/marigoldgauge/marigoldgauge/configurator"
	"github.com/marigoldgauge/marigoldgauge/confirmer"
	"github.com/marigoldgauge/marigoldgauge/limiter"
	"github.com/marigoldgauge/marigoldgauge/promoter"
	"github.com/marigoldgauge/marigoldgauge/recorder"
	"github.com/marigoldgauge/marigoldgauge/timekeeper"
	"github.com/marigoldgauge/marigoldgauge/tracker"
)

// Pool is the connection pool of one database group, as seen by one VM, which may
// or may not own it.
//
// A Pool is safe for concurrent use.
type Pool struct {
	Dependencies
	settings Settings
	clock    timekeeper.Clock
	buffers  sync.Pool

	mu             sync.Mutex
	state          State
	publishedState atomic.Int32
	epoch          uint64
	ownedAt        time.Time
	knownOwner     string
	tracker        *tracker.Group
	confirmer      *confirmer.Confirmer
	promoter       *promoter.Promoter
	instances      []*instance
	budgets        map[string]*rateBudget
	rateOwners     map[string]*allocator.RateOwner
	writesPaused   bool
	unfitSince     time.Time
	waiting        int
	activeWork     int
	changed        chan struct{}
	stop           context.CancelFunc
	stopped        chan struct{}
}

// New returns a Pool in state Standby.
func New(p Dependencies) *Pool {
	pool := &Pool{
		Dependencies: p,
		settings:     p.Settings,
		clock:        p.Clock,
		changed:      make(chan struct{}),
		budgets:      map[string]*rateBudget{},
		rateOwners:   map[string]*allocator.RateOwner{},
	}
	pool.buffers.New = func() any {
		b := make([]byte, 0, flushBytes+flushBytes/4)
		return &b
	}
	pool.reset()
	return pool
}

// reset discards all state of the group. The caller holds p.mu, unless the pool
// is new.
func (p *Pool) reset() {
	ids := make([]string, 0, len(p.settings.Instances))
	p.instances = nil
	for _, i := range p.settings.Instances {
		ids = append(ids, i.ID)
		p.instances = append(p.instances, newInstance(p.settings, i, p.Dial))
	}
	p.tracker = tracker.NewGroup(ids)
	p.confirmer = confirmer.New()
	p.promoter = promoter.New(p.settings.Promotion)
	p.budgets = map[string]*rateBudget{}
	p.rateOwners = map[string]*allocator.RateOwner{}
	p.writesPaused = false
}

// Group returns the name of the database group.
func (p *Pool) Group() string {
	return p.settings.Name
}

// State returns the role of the VM in the pool. It does not acquire p.mu.
func (p *Pool) State() State {
	return State(p.publishedState.Load())
}

// setState changes the state. The caller holds p.mu.
func (p *Pool) setState(s State) {
	p.state = s
	p.publishedState.Store(int32(s))
}

// Open returns a unit of work. It acquires no slot before its first batch.
func (p *Pool) Open(a WorkSpec) *Work {
	return &Work{pool: p, spec: a}
}

// instance returns an instance by name, or nil. The caller holds p.mu.
func (p *Pool) instance(id string) *instance {
	for _, i := range p.instances {
		if i.id == id {
			return i
		}
	}
	return nil
}

// notifyWaiters wakes the requests that wait for an eligible instance, if there
// are any. The caller holds p.mu.
func (p *Pool) notifyWaiters() {
	if p.waiting == 0 {
		return
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

// getBuffer returns an empty output buffer, which may be reused.
func (p *Pool) getBuffer() []byte {
	return (*p.buffers.Get().(*[]byte))[:0]
}

// putBuffer makes an output buffer available for reuse, unless it has grown large.
func (p *Pool) putBuffer(b []byte) {
	if cap(b) > 4*flushBytes {
		return
	}
	p.buffers.Put(&b)
}

// recordEvent records an event. The caller may hold p.mu.
func (p *Pool) recordEvent(now time.Time, kind, reason string, epoch uint64, inputs ...recorder.Input) {
	p.Recorder.Record(recorder.Event{At: now, Kind: kind, Subject: p.settings.Name, Reason: reason, Epoch: epoch, Inputs: inputs})
}

// startOwner starts the background goroutines of the pool owner.
func (p *Pool) startOwner(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	p.stop = cancel
	p.stopped = make(chan struct{})
	stopped := p.stopped
	group, ctx := errgroup.WithContext(ctx)
	for _, i := range p.instances {
		group.Go(func() error { return p.runProbes(ctx, i) })
	}
	group.Go(func() error { return p.monitor(ctx, group) })
	group.Go(func() error { return p.runShareExchange(ctx) })
	outer := &errgroup.Group{}
	outer.Go(func() error {
		defer close(stopped)
		return group.Wait()
	})
}

// organisationLimit returns the rate limit of an organisation and the groups that
// share it.
func (p *Pool) organisationLimit(organisation string) (limiter.Limit, []string, bool) {
	if organisation == configurator.OpenOrganisation {
		return openRouteLimit, []string{p.settings.Name}, true
	}
	profile, ok := p.Configuration.Index().Profile(organisation)
	if !ok {
		return limiter.Limit{}, nil, false
	}
	return profile.Limit, profile.Groups, true
}

// openRouteLimit is the rate limit per group of the clients of open routes.
var openRouteLimit = limiter.Limit{Rate: 50, Burst: 50}

// unavailable returns the error for a request to a pool that this VM does not own.
func (p *Pool) unavailable() error {
	return coder.New(coder.OwnerMoved, "this VM does not own the pool of "+p.settings.Name).WithRetryAfter(retryDelay)
}

// retryDelay is the retry delay suggested to clients while a change is in progress.
const retryDelay = 250 * time.Millisecond
