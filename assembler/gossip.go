package assembler

import (
	"math"
	"sync"
	"time"

	"go.uber.org/dig"

	"github.com/marigoldgauge/marigoldgauge/borrower"
	"github.com/marigoldgauge/marigoldgauge/cataloguer"
	"github.com/marigoldgauge/marigoldgauge/delegator"
	"github.com/marigoldgauge/marigoldgauge/dispatcher"
	"github.com/marigoldgauge/marigoldgauge/gossiper"
	"github.com/marigoldgauge/marigoldgauge/journaler"
	"github.com/marigoldgauge/marigoldgauge/loader"
	"github.com/marigoldgauge/marigoldgauge/observer"
	"github.com/marigoldgauge/marigoldgauge/publisher"
	"github.com/marigoldgauge/marigoldgauge/sessioner"
	"github.com/marigoldgauge/marigoldgauge/throttler"
	"github.com/marigoldgauge/marigoldgauge/tracker"
)

// gossipDependencies are the dependencies of a gossipHandler.
type gossipDependencies struct {
	dig.In

	Catalogue  *cataloguer.Holder
	Verifiers  *verifiers
	Observer   *observer.Observer
	Sharer     *throttler.Throttler
	Dispatcher *dispatcher.Dispatcher
	Sessions   *sessioner.Server
	Journal    *journaler.Journaler
	Borrower   *borrower.Borrower
	Holders    *delegator.HolderSelector
	State      *state
}

// gossipHandler composes the gossip messages of this VM and handles those of the others.
type gossipHandler struct {
	gossipDependencies
	settings loader.HostedSettings
	gossiper *gossiper.Gossiper

	publisher *publisher.Publisher

	mu sync.Mutex
	// learned holds the primaries that this VM learned of from other VMs, by group.
	learned map[string]learnedPrimary
	// leaderlessSince holds the groups without a known primary, with the time since then.
	leaderlessSince map[string]time.Time
	// dividedSize is the fleet size at the last division of the rates.
	dividedSize fleetSize
	// loggedSize is the fleet size that was last logged, at loggedAt.
	loggedSize fleetSize
	loggedAt   time.Time
}

// compose returns this VM's message for an audience.
func (n *gossipHandler) compose(now time.Time, to gossiper.Audience) gossiper.Message {
	demand, report := map[string]uint32{}, uint32(0)
	if to == gossiper.ToAll {
		demand, report = n.reportDemand(now)
	}
	// A lower demand is in force here before others hear of it.
	peers := n.divideShares(now)
	// The versions are read after the times as of which they are verified.
	verifiedAge, listVerifiedAge := n.Verifiers.configuration.Age(now), n.Verifiers.instances.Age(now)
	m := gossiper.Message{
		Name: n.settings.VM.ID, AvailabilityZone: n.settings.VM.AvailabilityZone, Address: n.settings.Listen.Peers, Incarnation: n.State.incarnation,
		Leaving: n.Sessions.Leaving(), StoreUnreachable: n.State.storeUnreachable.Load(), Demand: demand, Report: report, Confirmed: confirmedReports(peers),
		ListRevision: n.State.listingChange.Load(), ListFresh: n.State.watchesStore.Load() && !n.State.storeUnreachable.Load(),
	}
	m.Capacity = n.settings.VM.CapacityClass()
	m.VerifiedAge, m.ListVerifiedAge = max(verifiedAge, gossiper.MinVerifiedAge), max(listVerifiedAge, gossiper.MinVerifiedAge)
	m.Version, m.SkipsVotes = n.Catalogue.Version(), !n.State.standby.Load()
	groups := n.groups(now, to == gossiper.ToAll || to == gossiper.ToNewVM)
	m.Groups, m.Votes = n.publisher.Select(now, to, groups), publisher.Votes(groups)
	return m
}

// reportDemand returns the demand at this VM in the unit of a message, and the number of the
// report.
func (n *gossipHandler) reportDemand(now time.Time) (demand map[string]uint32, number uint32) {
	measured, number := n.Sharer.SnapshotDemand(now)
	demand = make(map[string]uint32, len(measured))
	for organisation, d := range measured {
		demand[organisation] = uint32(math.Round(d / throttler.DemandUnit))
	}
	return demand, number
}

// confirmedReports returns the numbers of the reports of other processes, by process.
func confirmedReports(peers []throttler.Peer) map[uint32]uint32 {
	out := make(map[uint32]uint32, len(peers))
	for _, p := range peers {
		if p.Report > 0 {
			out[p.Process] = p.Report
		}
	}
	return out
}

// groups returns what this VM may publish of all groups, or of those that it may have to
// publish to VMs that know the others.
func (n *gossipHandler) groups(now time.Time, all bool) []publisher.Group {
	contested := n.gossiper.Contested(now)
	views := n.primaryViews(now, all, contested)
	leaderless := n.updateLeaderless(now, views)
	out := make([]publisher.Group, 0, len(views))
	for _, v := range views {
		g := publisher.Group{
			Known: v.Known, Leaderless: leaderless[v.Group], PrimarySince: v.Since, Discovered: v.Discovered, Source: n.source(v), Contested: contested[v.Group],
			Shared: publisher.IsUsable(now, v.Position, v.SampledAt) && n.Holders.IsShared(now, v.Group), Position: v.Position, SampledAt: v.SampledAt,
		}
		lost := !v.UnservedSince.IsZero() && now.Sub(v.UnservedSince) > unreachableThreshold
		if g.Leaderless {
			g.Status = gossiper.GroupStatus{Group: v.Group, Unreachable: true}
		} else {
			g.Status = gossiper.GroupStatus{
				Group: v.Group, Primary: v.Primary, Term: v.Term, WritesOpen: v.WritesOpen,
				Unreachable: lost, Reachable: !lost && now.Sub(v.RespondedAt) < reachableWindow,
			}
		}
		out = append(out, g)
	}
	return out
}

// primaryViews returns the primaries of all groups, or of those that may have to be published.
func (n *gossipHandler) primaryViews(now time.Time, all bool, contested map[string]bool) []observer.PrimaryView {
	if all {
		return n.Observer.PrimaryViews(now)
	}
	return n.Observer.ActivePrimaryViews(now, contested, func(v *observer.PrimaryView) bool {
		return contested[v.Group] || v.Leaderless || !v.UnservedSince.IsZero() || publisher.IsRecent(now, v.Since, v.SampledAt)
	})
}

// updateLeaderless returns the groups that have been without a known primary for
// unreachableThreshold.
func (n *gossipHandler) updateLeaderless(now time.Time, views []observer.PrimaryView) map[string]bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	since, out := map[string]time.Time{}, map[string]bool{}
	for _, v := range views {
		if !v.Leaderless {
			continue
		}
		since[v.Group] = now
		if before, ok := n.leaderlessSince[v.Group]; ok {
			since[v.Group] = before
		}
		out[v.Group] = now.Sub(since[v.Group]) > unreachableThreshold
	}
	n.leaderlessSince = since
	return out
}

// source returns from whom this VM learned of the primary of a group.
func (n *gossipHandler) source(v observer.PrimaryView) publisher.Source {
	n.mu.Lock()
	defer n.mu.Unlock()
	if l := n.learned[v.Group]; l.primary == v.Primary && l.term == v.Term {
		return l.source
	}
	return publisher.FromInstance
}

// learnedPrimary is a primary that this VM learned of from another VM.
type learnedPrimary struct {
	primary string
	term    uint64
	source  publisher.Source
}

// setLearned records from whom this VM learned of a primary.
func (n *gossipHandler) setLearned(g gossiper.GroupStatus, source publisher.Source) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.learned[g.Group] = learnedPrimary{primary: g.Primary, term: g.Term, source: source}
}

// sourceOf returns the source of what a message says.
func sourceOf(m gossiper.Message) publisher.Source {
	switch {
	case m.FullState:
		return publisher.FromFullState
	case m.Relayed:
		return publisher.FromRelay
	default:
		return publisher.FromReporter
	}
}

// unreachableThreshold is the time without a response after which a primary is reported
// as unreachable to other VMs.
const unreachableThreshold = 300 * time.Millisecond

// reachableWindow is how long a primary counts as reachable after a response: while it
// serves, a few VMs always have a response that recent.
const reachableWindow = 500 * time.Millisecond

// fleetSize holds the inputs of the division of rates in a large fleet.
type fleetSize struct {
	known, alive, silent int
	generation           uint64
}

// fleetLogInterval is the least interval between two log lines about the fleet.
const fleetLogInterval = time.Second

// divideShares divides rates and connections among the VMs of the fleet. In a small fleet, it
// returns the reports that it takes account of.
func (n *gossipHandler) divideShares(now time.Time) []throttler.Peer {
	silent, ok := n.gossiper.ExpectedVMs(now)
	if !ok {
		silent = throttler.AssumedSilentVMs
	}
	known, alive := n.gossiper.VMCounts(now)
	size := fleetSize{known: known, alive: alive, silent: silent, generation: n.gossiper.Generation(now)}
	large := n.gossiper.IsLarge()
	n.mu.Lock()
	same := large && n.dividedSize == size
	n.dividedSize = size
	line := large && size != n.loggedSize && now.Sub(n.loggedAt) >= fleetLogInterval
	if line {
		n.loggedSize, n.loggedAt = size, now
	}
	n.mu.Unlock()
	if line {
		n.Journal.LogStateChange("fleet-changed", journaler.F("known", known), journaler.F("alive", alive), journaler.F("expected", silent),
			journaler.F("speaks", n.gossiper.IsRelay(now)))
	}
	if same {
		return nil
	}
	peers := make([]throttler.Peer, known)
	if !large {
		peers = n.peerDemands(now)
	}
	heard := float64(alive+1) / float64(known+silent+1)
	n.Sharer.SetPeers(now, peers, silent, heard, large, func(organisation string) float64 { return n.Borrower.LendingFraction(now, organisation) })
	n.Dispatcher.UpdateBounds()
	return peers
}

// peerDemands returns the demand at each other VM of a small fleet.
func (n *gossipHandler) peerDemands(now time.Time) []throttler.Peer {
	known := n.gossiper.Known(now)
	self := gossiper.Message{Name: n.settings.VM.ID, Incarnation: n.State.incarnation}
	process := self.ProcessID()
	peers := make([]throttler.Peer, 0, len(known))
	for _, p := range known {
		demand := make(map[string]float64, len(p.Demand))
		for organisation, d := range p.Demand {
			demand[organisation] = float64(d) * throttler.DemandUnit
		}
		peers = append(peers, throttler.Peer{Name: p.Name, Process: p.ProcessID(), Report: p.Report, Confirmed: p.Confirmed[process], Demand: demand})
	}
	return peers
}

// receive handles a message of another VM.
func (n *gossipHandler) receive(now time.Time, m gossiper.Message) {
	n.State.noteVersion(now, m, n.Catalogue.Version())
	if m.VerifiedAge > 0 && !m.Composed.IsZero() {
		n.Verifiers.configuration.Learn(m.Version, m.Composed.Add(-m.VerifiedAge))
		n.Verifiers.instances.Learn(m.ListRevision, m.Composed.Add(-m.ListVerifiedAge))
	}
	for _, g := range m.Groups {
		if g.Primary != "" && n.Observer.LearnPrimary(now, g.Group, g.Primary, g.Term) {
			n.setLearned(g, sourceOf(m))
			if n.gossiper.IsLarge() && n.gossiper.IsRelay(now) {
				n.gossiper.SendNow()
			}
			n.Journal.LogStateChange("primary-changed", journaler.Group(g.Group), journaler.Primary(g.Primary),
				journaler.Term(g.Term), journaler.Source(m.Name))
		}
		if g.WritesOpen {
			n.Observer.OpenWrites(g.Group, g.Term)
		}
		if g.Position != (tracker.Position{}) && !m.Composed.IsZero() {
			n.Observer.AddSample(g.Group, g.Term, m.Composed.Add(-g.Age), g.Position)
		}
	}
}
