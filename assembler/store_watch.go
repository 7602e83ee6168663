package assembler

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/marigoldgauge/marigoldgauge/cataloguer"
	"github.com/marigoldgauge/marigoldgauge/connector"
	"github.com/marigoldgauge/marigoldgauge/gossiper"
	"github.com/marigoldgauge/marigoldgauge/journaler"
	"github.com/marigoldgauge/marigoldgauge/limiter"
	"github.com/marigoldgauge/marigoldgauge/observer"
	"github.com/marigoldgauge/marigoldgauge/ranker"
	"github.com/marigoldgauge/marigoldgauge/verifier"
	"github.com/marigoldgauge/marigoldgauge/versioner"
	"github.com/marigoldgauge/marigoldgauge/watcher"
)

const (
	// peerStateTimeout is how long a process that has just started waits for the store's
	// content from other VMs: they respond within a few hundred milliseconds.
	peerStateTimeout = 1500 * time.Millisecond
	// queryTurnInterval is how long each two VMs of an availability zone have to read the
	// store's content before the next two may query the store, and maxQueryTurn the
	// longest wait for that.
	queryTurnInterval = 300 * time.Millisecond
	maxQueryTurn      = 5 * time.Second
	// catchUpInterval is how long a later configuration that another VM announced is
	// awaited from the store before it is fetched from that VM.
	catchUpInterval = 150 * time.Millisecond
	// initialCatchUpInterval is the interval at which a process without a configuration
	// checks whether another VM has one: it serves no clients until then.
	initialCatchUpInterval = 50 * time.Millisecond
	// fetchTimeout is the longest time without progress in a fetch from another VM.
	fetchTimeout = 2 * time.Second
	// maxFetchTime bounds a fetch from another VM that makes progress: a megabyte to ten
	// VMs at once over a link of 10 Mbit/s.
	maxFetchTime = 8 * time.Second
	// maxResponseBytes bounds the decompressed response of another VM, in bytes.
	maxResponseBytes = 64 << 20
	// vmsPrefix is the store prefix under which the VMs of the fleet register.
	vmsPrefix = "marigoldgauge-vms/"
	// registrationRetryDelay is the delay after a failed registration.
	registrationRetryDelay = 400 * time.Millisecond
	// registrationListInterval is the interval at which the registrations are read again; new
	// VMs are also discovered by gossip.
	registrationListInterval = 30 * time.Second
	// registrationListTimePerVM makes that interval longer in a large fleet.
	registrationListTimePerVM = 500 * time.Millisecond
)

// newWatcher returns a Watcher of a prefix of the store. known reports that its objects are
// known from another source.
func (p *Proxy) newWatcher(prefix string, v *verifier.Verifier, known func() bool, apply func(u versioner.Update)) watcher.Watcher {
	return watcher.Watcher{
		Store: p.Parts.Adapter.Store(), Prefix: prefix, Wait: v.WatchTimeout, Clock: p.Parts.Clock, Apply: apply, OnVerified: v.Verify, OnStoreCall: p.recordStoreResult,
		MaxBackoff: p.maxRetryDelay, Suspend: p.watchSuspension, MaxDelay: p.untilRead, ShouldStart: p.mayQueryStore, KnownElsewhere: known,
	}
}

// mayQueryStore reports whether a process may query the store. Just after the start, in a
// large fleet, only the relays of an availability zone do, and the others fetch the
// store's content from them. If the relays do not have it in time, the others of the
// zone query the store in turn.
func (p *Proxy) mayQueryStore(now time.Time) bool {
	switch {
	case now.Sub(p.State.startedAt) >= peerStateTimeout+p.queryTurn(now):
		return true
	case !p.Gossiper.SeededWithin(now, registrationListInterval):
		return false
	default:
		return p.Gossiper.IsRelay(now)
	}
}

// queryTurn returns how long this VM lets others of its availability zone query the store
// first.
func (p *Proxy) queryTurn(now time.Time) time.Duration {
	var near []gossiper.Peer
	for _, peer := range p.Gossiper.Members(now) {
		if peer.AvailabilityZone == p.Parts.Settings.VM.AvailabilityZone {
			near = append(near, peer)
		}
	}
	rank := p.watchRank(gossiper.StayingNames(p.Parts.Settings.VM.ID, near))
	return min(time.Duration(rank/watchersPerZone)*queryTurnInterval, maxQueryTurn)
}

// recordStoreResult records whether a call to the store succeeded.
func (p *Proxy) recordStoreResult(now time.Time, err error) {
	p.State.recordStoreResult(p.Journal, now, err)
}

// recordStoreResult records whether a call to the store succeeded.
func (s *state) recordStoreResult(j *journaler.Journaler, now time.Time, err error) {
	if err == nil {
		s.storeAnsweredAt.Store(now.UnixNano())
		if s.storeUnreachable.Swap(false) {
			s.storeRecoveredAt.Store(now.UnixNano())
			j.LogStateChange("store-regained")
		}
		return
	}
	if !s.storeUnreachable.Swap(true) {
		j.LogStateChange("store-lost", journaler.Err(err), journaler.F("unanswered", s.storeSilence(now)))
	}
}

// storeSilence returns the time since the store last answered this VM, or since the start.
func (s *state) storeSilence(now time.Time) time.Duration {
	answered := s.startedAt
	if at := s.storeAnsweredAt.Load(); at != 0 {
		answered = time.Unix(0, at)
	}
	return now.Sub(answered)
}

// followCatalogue keeps the configuration up to date.
func (p *Proxy) followCatalogue(ctx context.Context) error {
	key := p.Parts.Adapter.CatalogueKey()
	prefix := key[:strings.LastIndexByte(key, '/')+1]
	known := func() bool { return p.Catalogue.Current() != nil }
	w := p.newWatcher(prefix, p.Verifiers.configuration, known, func(u versioner.Update) {
		for _, o := range u.Objects {
			if o.Key == key {
				p.applyCatalogue(o.Value, "store")
			}
		}
	})
	return w.Run(ctx)
}

// applyCatalogue applies a configuration unless a later one is active.
func (p *Proxy) applyCatalogue(raw []byte, source string) {
	c, err := p.Parts.Adapter.DecodeCatalogue(raw)
	if err != nil {
		p.Journal.LogStateChange("configuration-refused", journaler.Err(err), journaler.Source(source))
		return
	}
	// A later configuration that arrives meanwhile is applied after this one.
	p.State.applyMu.Lock()
	defer p.State.applyMu.Unlock()
	before := p.Catalogue.Current()
	if !p.Catalogue.Install(p.Parts.Clock.Now(), c) {
		return
	}
	p.Verifiers.configuration.Install(c.Version)
	if ended := p.Authorizer.Apply(c); ended > 0 {
		p.Journal.LogStateChange("keys-withdrawn", journaler.Version(c.Version), journaler.F("grants-ended", ended))
	}
	p.configureComponents(before, c)
	p.State.bodies.add(raw)
	p.announceChange()
	p.Journal.LogStateChange("configuration-taken", journaler.Version(c.Version), journaler.F("routes", c.DatabaseCount()),
		journaler.F("organisations", c.Organisations.Len()), journaler.Source(source))
}

// configureComponents passes to the components the limits and connection numbers that
// differ from those of the configuration before; all of them if that is nil.
func (p *Proxy) configureComponents(before, c *cataloguer.Catalogue) {
	organisations, removed := c.LimitsSince(before)
	limits := make(map[string]limiter.Limit, len(organisations))
	for name, o := range organisations {
		limits[name] = o.Limit
		if old, ok := p.Sharer.Limit(name); ok && old != o.Limit {
			p.Journal.LogStateChange("limit-changed", journaler.Organisation(name), journaler.F("rate", o.Limit.Rate),
				journaler.F("burst", o.Limit.Burst), journaler.F("rate-before", old.Rate), journaler.Version(c.Version))
		}
	}
	p.Sharer.SetLimits(p.Parts.Clock.Now(), limits, removed...)
	groups, removedGroups := c.GroupsSince(before)
	usable := make(map[string]float64, len(groups))
	for name, g := range groups {
		usable[name] = connector.UsableConnections(g.MaxConnections)
	}
	p.Holders.SetConnections(usable, removedGroups...)
	p.Dispatcher.SetGroups(c.Groups, groups, removedGroups)
}

const (
	// watchersPerZone is the number of VMs per availability zone that watch the store.
	watchersPerZone = 2
	// watchRankingKey is the key by which the VMs are ranked for watching the store: the
	// same as for speaking, so that the VMs that speak for their availability zone
	// receive changes first.
	watchRankingKey = gossiper.RelayDuty
)

// watchSuspension returns for how long this VM does not watch the store because enough others
// of its availability zone do, which announce changes to it: until what it has may be outdated.
// It is zero for a VM that watches.
func (p *Proxy) watchSuspension(now time.Time) time.Duration {
	near := p.Gossiper.AliveInZone(now)
	fresh := 0
	for _, peer := range near {
		if peer.ListFresh && !peer.StoreUnreachable && !peer.Leaving {
			fresh++
		}
	}
	rank, suspension := p.storeTurn(now, near)
	if rank < watchersPerZone || fresh < watchersPerZone || p.State.storeUnreachable.Load() {
		suspension = 0
	}
	skip := suspension > 0
	if p.State.watchesStore.Swap(!skip) == skip {
		p.Journal.LogStateChange("store-watch", journaler.F("watches", !skip), journaler.F("rank", rank), journaler.F("fresh", fresh),
			journaler.F("unanswered", p.State.storeSilence(now)), journaler.F("verified", p.Verifiers.configuration.Age(now)))
	}
	return suspension
}

// untilRead returns the time until this VM has to read the store if it learns nothing from
// others.
func (p *Proxy) untilRead(now time.Time) time.Duration {
	_, d := p.storeTurn(now, p.Gossiper.AliveInZone(now))
	return d
}

// storeTurn returns the rank of this VM for watching the store among those of its availability
// zone, near, that reach it, and the time until it has to read the store if it learns nothing from
// others.
func (p *Proxy) storeTurn(now time.Time, near []gossiper.Peer) (rank int, untilRead time.Duration) {
	names := gossiper.StoreReachableNames(p.Parts.Settings.VM.ID, near)
	rank = p.watchRank(names)
	return rank, p.Verifiers.untilRead(now, rank, len(names))
}

// retryDelayPerVM is the delay that each VM of an availability zone adds between two
// calls to a store that does not respond, so that a zone as a whole calls about
// as often as one VM, in addition to the VMs that watch.
const retryDelayPerVM = 600 * time.Millisecond

// maxRetryDelay returns the longest delay between two calls to a store that does not
// respond: short for the VMs that watch it, long for the others.
func (p *Proxy) maxRetryDelay(now time.Time) time.Duration {
	names := gossiper.StayingNames(p.Parts.Settings.VM.ID, p.Gossiper.AliveInZone(now))
	if p.watchRank(names) < watchersPerZone {
		return 0
	}
	return retryDelayPerVM * time.Duration(len(names))
}

// watchRank returns the rank of this VM among candidates for watching the store,
// from 0.
func (p *Proxy) watchRank(names []string) int {
	return slices.Index(ranker.RankByClass(watchRankingKey, names, p.Gossiper.Capacity), p.Parts.Settings.VM.ID)
}

// updateInstances passes the changes of the instances to the components. The caller holds
// applyMu.
func (p *Proxy) updateInstances() {
	now := p.Parts.Clock.Now()
	updated, dropped := p.State.instances.Changes(now)
	p.Observer.SetListAsOf(p.Verifiers.instances.AsOf())
	p.Observer.SetKnownAsOf(p.State.instances.TakeKnownAsOf())
	added, removed, changed := p.Observer.UpdateInstances(now, updated, dropped)
	p.Dispatcher.SetInstances(added, removed)
	if len(added) > maxInstanceLines {
		p.Journal.LogStateChange("instances-came", journaler.F("instances", len(added)))
	}
	for _, i := range added {
		if len(added) <= maxInstanceLines {
			p.logInstance("instance-came", i)
		}
		if i.Leads && p.Observer.PrimaryUnlisted(i.Group) {
			p.Dispatcher.RequestStatus(i.Group)
		}
	}
	for _, i := range removed {
		p.logInstance("instance-went", i)
	}
	for _, i := range changed {
		p.logInstance("instance-turned", i)
		p.Dispatcher.RequestStatus(i.Group)
	}
	if len(added) > 0 {
		p.State.instancesKnown.Store(true)
	}
}

// maxInstanceLines is the number of instances up to which each one that comes has a log
// line of its own. A process that starts learns of all of them at once.
const maxInstanceLines = 60

// logInstance logs a change in the platform's list of instances.
func (p *Proxy) logInstance(decision string, i observer.Instance) {
	p.Journal.LogStateChange(decision, journaler.Instance(i.ID), journaler.Group(i.Group),
		journaler.F("address", i.Address), journaler.F("leads", i.Leads), journaler.F("leaving", i.Leaving))
}
