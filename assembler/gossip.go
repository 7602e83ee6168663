package assembler

import (
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
	"github.com/marigoldgauge/marigoldgauge/sessioner"
	"github.com/marigoldgauge/marigoldgauge/throttler"
	"github.com/marigoldgauge/marigoldgauge/tracker"
)

// demandScale converts operations per second to the unit of a message.
const demandScale = 100

// gossipDependencies are the dependencies of a gossipHandler.
type gossipDependencies struct {
	dig.In

	Catalogue  *cataloguer.Holder
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

	mu sync.Mutex
	// sentPositions are the sample times of the positions last sent, by audience and group.
	sentPositions map[gossiper.Audience]map[string]time.Time
	// sentToReporters is when positions were last sent to the reporters.
	sentToReporters time.Time
	// dividedSize is the fleet size at the last division of the rates.
	dividedSize fleetSize
	// loggedSize is the fleet size that was last logged, at loggedAt.
	loggedSize fleetSize
	loggedAt   time.Time
}

// compose returns this VM's message for an audience.
func (n *gossipHandler) compose(now time.Time, to gossiper.Audience) gossiper.Message {
	n.divideShares(now)
	m := gossiper.Message{
		Name: n.settings.VM.ID, AvailabilityZone: n.settings.VM.AvailabilityZone, Address: n.settings.Listen.Peers, Incarnation: n.State.incarnation,
		Leaving: n.Sessions.Leaving(), StoreUnreachable: n.State.storeUnreachable.Load(), Demand: map[string]uint32{},
		ListRevision: n.State.listingChange.Load(), ListFresh: n.State.watchesStore.Load() && !n.State.storeUnreachable.Load(),
	}
	m.Version = n.Catalogue.Version()
	if to == gossiper.ToAll {
		for organisation, demand := range n.Sharer.SnapshotDemand(now) {
			m.Demand[organisation] = uint32(demand * demandScale)
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	positions := n.includesPositions(now, to)
	for _, group := range n.Observer.Groups() {
		if g, ok := n.groupNews(now, to, group); ok || (positions && n.addPosition(now, to, &g)) {
			m.Groups = append(m.Groups, g)
		}
	}
	return m
}

// includesPositions reports whether the message to an audience includes positions of
// primaries. The caller holds the lock.
func (n *gossipHandler) includesPositions(now time.Time, to gossiper.Audience) bool {
	switch to {
	case gossiper.ToOwnRelays, gossiper.ToNewVM:
		return true
	case gossiper.ToReporters:
		if now.Sub(n.sentToReporters) < positionInterval {
			return false
		}
		n.sentToReporters = now
		return true
	default:
		return false
	}
}

// groupNews returns the entry of a group in the message to an audience; ok is false
// when the entry is not needed.
func (n *gossipHandler) groupNews(now time.Time, to gossiper.Audience, group string) (g gossiper.GroupStatus, ok bool) {
	primary, term, known := n.Observer.Primary(group)
	if !known {
		return gossiper.GroupStatus{Group: group}, false
	}
	unreached := n.Observer.UnservedSince(group)
	lost := !unreached.IsZero() && now.Sub(unreached) > unreachableThreshold
	g = gossiper.GroupStatus{
		Group: group, Primary: primary, Term: term, WritesOpen: n.Observer.WritesOpen(now, group),
		Unreachable: lost, Reachable: !lost && now.Sub(n.Observer.PrimaryRespondedAt(group)) < reachableWindow,
	}
	if to == gossiper.ToAll || to == gossiper.ToNewVM {
		return g, true
	}
	return g, lost || now.Sub(n.Observer.PrimarySince(group)) < primaryAnnouncementPeriod || n.gossiper.HasUnreachableVote(now, group) && g.Reachable
}

// addPosition adds the last sampled position of the primary, unless it is too old or
// was sent before. The caller holds the lock.
func (n *gossipHandler) addPosition(now time.Time, to gossiper.Audience, g *gossiper.GroupStatus) bool {
	at, p, ok := n.Observer.LatestSample(g.Group)
	sent := n.sentPositions[to]
	if sent == nil {
		sent = map[string]time.Time{}
		n.sentPositions[to] = sent
	}
	if !ok || g.Primary == "" || now.Sub(at) > maxPositionAge || (!at.After(sent[g.Group]) && to != gossiper.ToNewVM) {
		return false
	}
	sent[g.Group] = at
	g.Position, g.Age = p, now.Sub(at)
	return true
}

const (
	// positionInterval is the interval at which positions of primaries are sent to the
	// VMs of an availability zone: half of the staleness that usual routes allow.
	positionInterval = 700 * time.Millisecond
	// maxPositionAge is the age beyond which a position is of no use to other VMs.
	maxPositionAge = 2 * time.Second
)

// unreachableThreshold is the time without a response after which a primary is reported
// as unreachable to other VMs.
const unreachableThreshold = 300 * time.Millisecond

// primaryAnnouncementPeriod is how long a new primary is announced in a large
// fleet; after that all
// VMs have received it, or request the full state.
const primaryAnnouncementPeriod = 5 * time.Second

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

// divideShares divides rates and connections among the VMs of the fleet.
func (n *gossipHandler) divideShares(now time.Time) {
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
		return
	}
	peers := make([]throttler.Peer, known)
	if !large {
		peers = n.peerDemands(now)
	}
	heard := float64(alive+1) / float64(known+silent+1)
	n.Sharer.SetPeers(now, peers, silent, heard, large, func(organisation string) float64 { return n.Borrower.LendingFraction(now, organisation) })
	if c := n.Catalogue.Current(); c != nil {
		n.Dispatcher.SetGroups(c.Groups, func(group string) float64 { return n.Holders.Share(now, group) })
	}
}

// peerDemands returns the demand at each other VM of a small fleet.
func (n *gossipHandler) peerDemands(now time.Time) []throttler.Peer {
	known := n.gossiper.Known(now)
	peers := make([]throttler.Peer, 0, len(known))
	for _, p := range known {
		demand := make(map[string]float64, len(p.Demand))
		for organisation, d := range p.Demand {
			demand[organisation] = float64(d) / demandScale
		}
		peers = append(peers, throttler.Peer{Name: p.Name, Demand: demand})
	}
	return peers
}

// receive handles a message of another VM.
func (n *gossipHandler) receive(now time.Time, m gossiper.Message) {
	for _, g := range m.Groups {
		if g.Primary != "" && n.Observer.LearnPrimary(now, g.Group, g.Primary, g.Term) {
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
