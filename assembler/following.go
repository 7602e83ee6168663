package assembler

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/marigoldgauge/marigoldgauge/cataloguer"
	"github.com/marigoldgauge/marigoldgauge/connector"
	"github.com/marigoldgauge/marigoldgauge/follower"
	"github.com/marigoldgauge/marigoldgauge/gossiper"
	"github.com/marigoldgauge/marigoldgauge/journaler"
	"github.com/marigoldgauge/marigoldgauge/keeper"
	"github.com/marigoldgauge/marigoldgauge/limiter"
	"github.com/marigoldgauge/marigoldgauge/observer"
	"github.com/marigoldgauge/marigoldgauge/placer"
)

const (
	// watchFor is how long one watch of the store waits; each call has its price.
	// A connection that went silent is noticed within it. Meanwhile other VMs
	// tell of later configurations.
	watchFor = 4 * time.Second
	// watchForLarge is that time in a large fleet, where many VMs watch.
	watchForLarge = 8 * time.Second
	// beginAlone is how long a process that has just started waits for other VMs to
	// tell it what the store holds: they answer within a few hundred milliseconds.
	beginAlone = 1500 * time.Millisecond
	// catchUpAfter is how long a later configuration that another VM told of is
	// waited for from the store, before it is fetched from that VM.
	catchUpAfter = 150 * time.Millisecond
	// catchUpAtOnce is how often a process without a configuration looks whether
	// another VM has one: it serves nobody meanwhile.
	catchUpAtOnce = 50 * time.Millisecond
	// fetchWithin bounds a fetch from another VM: a configuration of a megabyte,
	// packed to a tenth, to ten VMs at once over a link of 10 Mbit/s.
	fetchWithin = 2 * time.Second
	// maxCatalogue bounds what is read of another VM's configuration.
	maxCatalogue = 8 << 20
	// vmsPrefix is where the VMs of the fleet register in the store.
	vmsPrefix = "marigoldgauge-vms/"
	// registerRetry is the pause after a failed registration.
	registerRetry = 400 * time.Millisecond
	// relistEvery is how often the register is read again; VMs that come are heard
	// without it.
	relistEvery = 30 * time.Second
)

// follow follows a prefix of the store.
func (p *Proxy) follow(ctx context.Context, prefix string, known func() bool, apply func(revision uint64, objects map[string]keeper.Object)) error {
	f := follower.Follower{
		Store: p.Parts.Adapter.Store(), Prefix: prefix, Wait: p.watchFor, Clock: p.Parts.Clock, Apply: apply, Reached: p.reached,
		Most: p.mostPause, Hold: p.hold, Begin: p.begin, Known: known,
	}
	return f.Run(ctx)
}

// begin reports whether a process that has just started asks the store: in a
// large fleet those that speak for their availability zone do, and the others
// take from them what they know.
func (p *Proxy) begin(now time.Time) bool {
	switch {
	case now.Sub(p.State.started) >= beginAlone:
		return true
	case !p.Gossiper.Seeded(now, relistEvery):
		return false
	default:
		return p.Gossiper.Speaks(now)
	}
}

// watchFor returns how long one watch waits.
func (p *Proxy) watchFor() time.Duration {
	if p.Gossiper.IsLarge() {
		return watchForLarge
	}
	return watchFor
}

// reached notes whether the store answered.
func (p *Proxy) reached(now time.Time, err error) {
	p.State.reached(p.Journal, now, err)
}

// reached notes whether the store answered.
func (s *state) reached(j *journaler.Journaler, now time.Time, err error) {
	if err == nil {
		if s.storeLost.Swap(false) {
			s.storeRegained.Store(now.UnixNano())
			j.Belief("store-regained")
		}
		return
	}
	if !s.storeLost.Swap(true) {
		j.Belief("store-lost", journaler.Err(err))
	}
}

// followCatalogue keeps the configuration up to date.
func (p *Proxy) followCatalogue(ctx context.Context) error {
	key := p.Parts.Adapter.CatalogueKey()
	prefix := key[:strings.LastIndexByte(key, '/')+1]
	known := func() bool { return p.Catalogue.Current() != nil }
	return p.follow(ctx, prefix, known, func(_ uint64, objects map[string]keeper.Object) {
		if o, ok := objects[key]; ok {
			p.takeCatalogue(o.Value, "store")
		}
	})
}

// takeCatalogue puts a configuration in force unless a later one is.
func (p *Proxy) takeCatalogue(raw []byte, source string) {
	c, err := p.Parts.Adapter.Catalogue(raw)
	if err != nil {
		p.Journal.Belief("configuration-refused", journaler.Err(err), journaler.Source(source))
		return
	}
	// A later configuration that comes meanwhile is put in force after this one.
	p.State.taking.Lock()
	defer p.State.taking.Unlock()
	if !p.Catalogue.Take(p.Parts.Clock.Now(), c) {
		return
	}
	p.shape(c)
	p.State.packed.Store(pack(raw))
	p.spread()
	p.Journal.Belief("configuration-taken", journaler.Version(c.Version), journaler.F("routes", c.Databases()),
		journaler.F("organisations", len(c.Organisations)), journaler.Source(source))
}

// shape tells the parts what the configuration says.
func (p *Proxy) shape(c *cataloguer.Catalogue) {
	limits := make(map[string]limiter.Limit, len(c.Organisations))
	for name, o := range c.Organisations {
		limits[name] = o.Limit
		if old, ok := p.Sharer.Limit(name); ok && old != o.Limit {
			p.Journal.Belief("limit-changed", journaler.Organisation(name), journaler.F("rate", o.Limit.Rate),
				journaler.F("burst", o.Limit.Burst), journaler.F("rate-before", old.Rate), journaler.Version(c.Version))
		}
	}
	now := p.Parts.Clock.Now()
	p.Sharer.SetLimits(now, limits)
	usable := make(map[string]float64, len(c.Groups))
	for name, g := range c.Groups {
		usable[name] = connector.Usable(g.Connections)
	}
	p.Ranking.SetConnections(usable)
	p.Dispatcher.SetShape(c.Groups, func(group string) float64 { return p.Ranking.Share(now, group) })
}

// followInstances keeps the list of instances up to date.
func (p *Proxy) followInstances(ctx context.Context) error {
	known := func() bool { return p.State.listing.Load() > 0 }
	return p.follow(ctx, p.Parts.Adapter.InstancesPrefix(), known, func(revision uint64, objects map[string]keeper.Object) {
		p.takeListing(&listing{Revision: revision, Objects: slices.Collect(maps.Values(objects))})
	})
}

// listing is the list of instances as it lay in the store.
type listing struct {
	// Revision is the store's count of changes that it reflects.
	Revision uint64 `json:"revision"`
	// Objects are the entries.
	Objects []keeper.Object `json:"objects"`
}

// takeListing takes the list of instances, unless a later one is known.
func (p *Proxy) takeListing(l *listing) {
	p.State.taking.Lock()
	defer p.State.taking.Unlock()
	if l.Revision < p.State.seen.Load() {
		return
	}
	p.State.seen.Store(l.Revision)
	list := make([]observer.Instance, 0, len(l.Objects))
	for _, o := range l.Objects {
		i, err := p.Parts.Adapter.Instance(o)
		if err != nil {
			p.Journal.Belief("instance-passed-over", journaler.F("key", o.Key), journaler.Err(err))
			continue
		}
		list = append(list, i)
	}
	changed := p.State.roll.List(p.Parts.Clock.Now(), list)
	p.takeInstances()
	if changed || p.State.objects.Load() == nil {
		// Other VMs fetch the list again only when it tells something new.
		p.State.listing.Store(l.Revision)
		p.State.objects.Store(l)
		p.spread()
	}
}

const (
	// watchers is the number of VMs of an availability zone that watch the store.
	watchers = 2
	// watchDuty names the duty for the ranking of the VMs: those that speak for
	// their availability zone hear of changes first.
	watchDuty = gossiper.SpeakDuty
)

// hold reports whether this VM leaves the store alone because enough others of
// its availability zone watch it, from whom it hears of changes.
func (p *Proxy) hold(now time.Time) bool {
	near := p.Gossiper.Near(now)
	fresh := 0
	for _, peer := range near {
		if peer.Fresh && !peer.StoreUnreachable && !peer.Leaving {
			fresh++
		}
	}
	rank := p.watchRank(gossiper.Reaching(p.Parts.Settings.VM.ID, near))
	hold := rank >= watchers && fresh >= watchers && !p.State.storeLost.Load()
	p.State.watches.Store(!hold)
	return hold
}

// pausePerVM is how much longer each further VM of an availability zone waits
// between two calls to a store that does not answer, so that a zone together
// calls about as often as one VM, beside those that watch.
const pausePerVM = 600 * time.Millisecond

// mostPause returns the longest pause between two calls to a store that does
// not answer: short for those that watch it, long for those that leave it to them.
func (p *Proxy) mostPause(now time.Time) time.Duration {
	names := gossiper.Staying(p.Parts.Settings.VM.ID, p.Gossiper.Near(now))
	if p.watchRank(names) < watchers {
		return 0
	}
	return pausePerVM * time.Duration(len(names))
}

// watchRank returns this VM's place among some that may watch the store, from 0.
func (p *Proxy) watchRank(names []string) int {
	return slices.Index(placer.Rank(watchDuty, names), p.Parts.Settings.VM.ID)
}

// takeInstances lets the parts know which instances there are.
func (p *Proxy) takeInstances() {
	list := p.State.roll.Instances(p.Parts.Clock.Now())
	came, went, turned := p.Observer.SetInstances(p.Parts.Clock.Now(), list)
	p.Dispatcher.SetInstances(came, went)
	for _, i := range came {
		p.noteInstance("instance-came", i)
		if i.Leads && p.Observer.Unlisted(i.Group) {
			p.Dispatcher.Ask(i.Group)
		}
	}
	for _, i := range went {
		p.noteInstance("instance-went", i)
	}
	for _, i := range turned {
		p.noteInstance("instance-turned", i)
		p.Dispatcher.Ask(i.Group)
	}
	if len(list) > 0 {
		p.State.instances.Store(true)
	}
}

// noteInstance records a change of the platform's list.
func (p *Proxy) noteInstance(decision string, i observer.Instance) {
	p.Journal.Belief(decision, journaler.Instance(i.ID), journaler.Group(i.Group),
		journaler.F("address", i.Address), journaler.F("leads", i.Leads), journaler.F("leaving", i.Leaving))
}
