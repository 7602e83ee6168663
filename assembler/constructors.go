package assembler

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/dig"

	"github.com/marigoldgauge/marigoldgauge/authorizer"
	"github.com/marigoldgauge/marigoldgauge/borrower"
	"github.com/marigoldgauge/marigoldgauge/cataloguer"
	"github.com/marigoldgauge/marigoldgauge/coalescer"
	"github.com/marigoldgauge/marigoldgauge/delegator"
	"github.com/marigoldgauge/marigoldgauge/dispatcher"
	"github.com/marigoldgauge/marigoldgauge/gossiper"
	"github.com/marigoldgauge/marigoldgauge/journaler"
	"github.com/marigoldgauge/marigoldgauge/leaser"
	"github.com/marigoldgauge/marigoldgauge/measurer"
	"github.com/marigoldgauge/marigoldgauge/observer"
	"github.com/marigoldgauge/marigoldgauge/publisher"
	"github.com/marigoldgauge/marigoldgauge/renewer"
	"github.com/marigoldgauge/marigoldgauge/sessioner"
	"github.com/marigoldgauge/marigoldgauge/switcher"
	"github.com/marigoldgauge/marigoldgauge/throttler"
	"github.com/marigoldgauge/marigoldgauge/verifier"
	"github.com/marigoldgauge/marigoldgauge/versioner"
)

// constructors build the components of a process, in the order of their dependencies.
var constructors = []any{
	newState,
	func(p Dependencies) *journaler.Journaler { return journaler.New(p.Log, p.Clock) },
	cataloguer.NewHolder,
	authorizer.New,
	newVerifiers,
	measurer.New,
	newObserver,
	throttler.New,
	newBorrower,
	newHolderSelector,
	newDelegator,
	newDispatcher,
	newUnitServer,
	newSessionServer,
	newEnroller,
	newLeaser,
	newGossiper,
	newRenewer,
	newSwitcher,
}

// New builds a process.
func New(p Dependencies) (*Proxy, error) {
	c := dig.New()
	if err := c.Provide(func() Dependencies { return p }); err != nil {
		return nil, eris.Wrap(err, "registering the dependencies with the container")
	}
	for _, f := range constructors {
		if err := c.Provide(f); err != nil {
			return nil, eris.Wrap(err, "registering a constructor with the container")
		}
	}
	var proxy *Proxy
	err := c.Invoke(func(p Proxy) {
		proxy = &p
		p.Switcher.SetLister(lister{coalescer.New(proxy.readListing)})
	})
	return proxy, eris.Wrap(err, "building the process")
}

// newState returns the state of a process that has just started.
func newState(p Dependencies) *state {
	// The random low bits distinguish processes that start in the same millisecond.
	s := &state{
		incarnation:      uint64(p.Clock.Now().UnixMilli())<<10 | rand.Uint64N(1<<10),
		startedAt:        p.Clock.Now(),
		instances:        observer.NewInstanceList(),
		listing:          versioner.NewList(),
		instanceIDs:      map[string]string{},
		listingResponses: newListingResponses(),
		laterCatalogue:   make(chan gossiper.Peer, 1),
		bodies:           newBodies(),
		peerClient:       &http.Client{Transport: &http.Transport{DialContext: p.Dial, DisableCompression: true}},
	}
	s.watchesStore.Store(true)
	s.standby.Store(true)
	return s
}

const (
	// sameZoneRoundTrip, sameRegionRoundTrip and otherRegionRoundTrip are the
	// round-trip times to an instance that are assumed before its first response;
	// serviceTime is added to them.
	sameZoneRoundTrip    = time.Millisecond
	sameRegionRoundTrip  = 4 * time.Millisecond
	otherRegionRoundTrip = 20 * time.Millisecond
	serviceTime          = 20 * time.Millisecond
)

// newObserver returns an observer with initial latencies by availability zone.
func newObserver(p Dependencies) *observer.Observer {
	s := p.Settings
	return observer.New(func(zone string) time.Duration {
		switch {
		case zone == s.VM.AvailabilityZone:
			return serviceTime + sameZoneRoundTrip
		case s.Regions[zone] == s.Regions[s.VM.AvailabilityZone]:
			return serviceTime + sameRegionRoundTrip
		default:
			return serviceTime + otherRegionRoundTrip
		}
	}, s.Drain)
}

// newBorrower returns the borrower of this VM.
func newBorrower(p Dependencies, s *throttler.Throttler) *borrower.Borrower {
	return borrower.New(p.Settings.VM.ID, p.Settings.VM.AvailabilityZone, func(zone string) string { return p.Settings.Regions[zone] }, s, p.Clock)
}

// newHolderSelector returns the selector of the VMs that hold the connections to
// instances on behalf of the other VMs of their availability zone.
func newHolderSelector(p Dependencies) *delegator.HolderSelector {
	return delegator.NewHolderSelector(p.Settings.VM.ID)
}

// newDelegator returns the component that forwards units of work to other VMs.
func newDelegator(p Dependencies, h *delegator.HolderSelector, j *journaler.Journaler) *delegator.Delegator {
	return delegator.New(p.Settings.VM.ID, h, p.Clock, j, p.dialCounted(unitsPurpose))
}

// newUnitServer returns the server that runs the units of work of other VMs.
func newUnitServer(p Dependencies, d *dispatcher.Dispatcher, a *authorizer.Authorizer) *delegator.Server {
	return delegator.NewServer(d, a, p.Clock)
}

// newDispatcher returns a dispatcher without instances.
func newDispatcher(p Dependencies, o *observer.Observer, s *throttler.Throttler, b *borrower.Borrower, e *delegator.Delegator, h *delegator.HolderSelector, j *journaler.Journaler, m *measurer.Measurer) *dispatcher.Dispatcher {
	return dispatcher.New(dispatcher.Dependencies{Observer: o, Throttler: s, Borrower: b, Remote: e, Shares: h, Dialer: p.Adapter.Dialer(), Clock: p.Clock, Journal: j, Measurer: m})
}

// verifiers track the age of what this process holds of the store.
type verifiers struct {
	configuration, instances *verifier.Verifier
}

// untilRead returns the time until a VM with a rank among those of its availability zone has to
// read the store, for the configuration or the list of instances.
func (v *verifiers) untilRead(now time.Time, rank, vms int) time.Duration {
	return min(v.configuration.UntilRead(now, rank, vms), v.instances.UntilRead(now, rank, vms))
}

// newVerifiers returns the verifiers of this process.
func newVerifiers(p Dependencies) *verifiers {
	now := p.Clock.Now()
	return &verifiers{configuration: verifier.New(now, p.Settings.Configuration), instances: verifier.New(now, p.Settings.Drain)}
}

// newSessionServer returns a server without sessions.
func newSessionServer(p Dependencies, c *cataloguer.Holder, a *authorizer.Authorizer, d *dispatcher.Dispatcher, j *journaler.Journaler) *sessioner.Server {
	s := &sessioner.Server{Catalogue: c, Authorizer: a, Runner: d, Clock: p.Clock, Journal: j}
	s.SetGrace(p.Settings.Grace)
	return s
}

// leaseKey is the store key of the lease for replacing primaries.
const leaseKey = "marigoldgauge-duties/replace-primaries"

// newLeaser returns the leaser of the lease for replacing primaries.
func newLeaser(p Dependencies, j *journaler.Journaler, s *state) *leaser.Leaser {
	return leaser.New(leaser.Dependencies{Store: p.Adapter.Store(), Key: leaseKey, Clock: p.Clock, Journal: j, Holder: p.Settings.VM.ID, Incarnation: s.incarnation, Duration: p.Settings.Lease})
}

// newGossiper returns a gossiper that publishes the state of this process and passes
// what it receives from other VMs to the other components.
func newGossiper(p Dependencies, n gossipDependencies) *gossiper.Gossiper {
	handler := &gossipHandler{gossipDependencies: n, settings: p.Settings, publisher: publisher.New(), learned: map[string]learnedPrimary{}}
	g := gossiper.New(p.Transport, p.Clock, p.Accountant, p.Settings.VM.ID, p.Settings.VM.AvailabilityZone, handler.compose, handler.receive)
	handler.gossiper = g
	n.Borrower.SetFleet(g)
	n.Holders.SetFleet(g)
	g.HandleTopic(borrower.Topic, "tokens", n.Borrower.HandleRequest, n.Borrower.HandleResponse)
	return g
}

// newRenewer returns the renewer of this VM.
func newRenewer(p Dependencies, o *observer.Observer, l *leaser.Leaser, g *gossiper.Gossiper, s *state) *renewer.Renewer {
	v := renewer.New(renewer.Dependencies{Name: p.Settings.VM.ID, Incarnation: s.incarnation, Observer: o, Record: l, Fleet: g, Clock: p.Clock, Lease: observer.ViewLease})
	g.HandleTopic(renewer.Topic, "lease-record", v.HandleRequest, v.HandleResponse)
	g.SetAttachment(v.ComposeNotice, v.HandleNotice)
	return v
}

// newSwitcher returns the switcher of this VM.
func newSwitcher(p Dependencies, o *observer.Observer, d *dispatcher.Dispatcher, g *gossiper.Gossiper, l *leaser.Leaser, v *renewer.Renewer,
	sessions *sessioner.Server, j *journaler.Journaler, st *state) *switcher.Switcher {
	startedAt := p.Clock.Now()
	return switcher.New(switcher.Dependencies{
		Name: p.Settings.VM.ID, Observer: o, Controller: d, Fleet: g, Lease: l, Announcer: v, Promoter: p.Adapter.Promoter(), PromotionRate: p.Settings.Platform.DutiesRate, Clock: p.Clock, Journal: j,
		OnStoreCall: func(now time.Time, err error) { st.recordStoreResult(j, now, err) },
		OnStandby:   st.standby.Store,
		Eligible: func(now time.Time) bool {
			recoveredAt := time.Unix(0, st.storeRecoveredAt.Load())
			return !sessions.Leaving() && !st.storeUnreachable.Load() && now.Sub(startedAt) >= settlingPeriod && now.Sub(recoveredAt) >= settlingPeriod
		},
	})
}

// settlingPeriod is how long a process waits before it replaces primaries, after its
// start and after the store was unreachable: until then instances may be missing
// from the platform's list.
const settlingPeriod = observer.UnlistedGrace
