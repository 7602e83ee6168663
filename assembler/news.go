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
	"github.com/marigoldgauge/marigoldgauge/sharer"
	"github.com/marigoldgauge/marigoldgauge/tracker"
)

// demandScale turns operations a second into the unit of a message.
const demandScale = 100

// newsParts are what news is composed from.
type newsParts struct {
	dig.In

	Catalogue  *cataloguer.Holder
	Observer   *observer.Observer
	Sharer     *sharer.Sharer
	Dispatcher *dispatcher.Dispatcher
	Sessions   *sessioner.Server
	Journal    *journaler.Journaler
	Borrower   *borrower.Borrower
	Ranking    *delegator.HolderSelector
	State      *state
}

// news is what this VM tells the others and hears from them.
type news struct {
	newsParts
	settings loader.Hosted
	gossiper *gossiper.Gossiper

	mu sync.Mutex
	// told are the positions that were told last, by audience and group.
	told map[gossiper.Audience]map[string]time.Time
	// toldReporters is when the reporters were last told positions.
	toldReporters time.Time
	// shared is the fleet among which the rates were divided last.
	shared fleetSize
	// logged is the fleet of the last line about it.
	logged   fleetSize
	loggedAt time.Time
}

// compose writes this VM's message.
func (n *news) compose(now time.Time, to gossiper.Audience) gossiper.Message {
	n.share(now)
	m := gossiper.Message{
		Name: n.settings.VM.ID, AvailabilityZone: n.settings.VM.AvailabilityZone, Address: n.settings.Listen.Peers, Incarnation: n.State.incarnation,
		Leaving: n.Sessions.Leaving(), StoreUnreachable: n.State.storeLost.Load(), Demand: map[string]uint32{},
		Listing: n.State.listing.Load(), Fresh: n.State.watches.Load() && !n.State.storeLost.Load(),
	}
	m.Version = n.Catalogue.Version()
	if to == gossiper.Everyone {
		for organisation, demand := range n.Sharer.Tell(now) {
			m.Demand[organisation] = uint32(demand * demandScale)
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	positions := n.tellsPositions(now, to)
	for _, group := range n.Observer.Groups() {
		if g, ok := n.group(now, to, group); ok || (positions && n.position(now, to, &g)) {
			m.Groups = append(m.Groups, g)
		}
	}
	return m
}

// tellsPositions reports whether an audience is told positions of primaries now. The lock is held.
func (n *news) tellsPositions(now time.Time, to gossiper.Audience) bool {
	switch to {
	case gossiper.Speaker, gossiper.Newcomer:
		return true
	case gossiper.Reporters:
		if now.Sub(n.toldReporters) < positionsEvery {
			return false
		}
		n.toldReporters = now
		return true
	default:
		return false
	}
}

// group returns what an audience is told of a primary; ok is false when it need not hear it.
func (n *news) group(now time.Time, to gossiper.Audience, group string) (g gossiper.GroupNews, ok bool) {
	primary, term, known := n.Observer.Primary(group)
	if !known {
		return gossiper.GroupNews{Group: group}, false
	}
	unreached := n.Observer.Unreached(group)
	lost := !unreached.IsZero() && now.Sub(unreached) > unreachedAfter
	g = gossiper.GroupNews{
		Group: group, Primary: primary, Term: term, Opened: n.Observer.Opened(now, group),
		Unreached: lost, Reached: !lost && now.Sub(n.Observer.PrimaryAnswered(group)) < reachedFor,
	}
	if to == gossiper.Everyone || to == gossiper.Newcomer {
		return g, true
	}
	return g, lost || now.Sub(n.Observer.Since(group)) < tellFor || n.gossiper.Contested(now, group) && g.Reached
}

// position adds where the primary stood, unless that was told before. The lock is held.
func (n *news) position(now time.Time, to gossiper.Audience, g *gossiper.GroupNews) bool {
	at, p, ok := n.Observer.Sampled(g.Group)
	told := n.told[to]
	if told == nil {
		told = map[string]time.Time{}
		n.told[to] = told
	}
	if !ok || g.Primary == "" || now.Sub(at) > positionAge || (!at.After(told[g.Group]) && to != gossiper.Newcomer) {
		return false
	}
	told[g.Group] = at
	g.Position, g.Age = p, now.Sub(at)
	return true
}

const (
	// positionsEvery is how often the VMs of an availability zone are told the
	// positions of primaries: half of the staleness that usual routes allow.
	positionsEvery = 700 * time.Millisecond
	// positionAge is the age at which a position is of no use to others.
	positionAge = 2 * time.Second
)

// unreachedAfter is the time without an answer after which other VMs are told
// that a primary cannot be reached.
const unreachedAfter = 300 * time.Millisecond

// tellFor is how long the VMs of a large fleet are told of a new primary; after
// that all have heard, or ask for all that is known.
const tellFor = 5 * time.Second

// reachedFor is how long an answer of a primary speaks for it: a few VMs always
// have one that recent while it serves.
const reachedFor = 500 * time.Millisecond

// fleetSize is what the division of rates depends on in a large fleet.
type fleetSize struct {
	known, alive, silent int
	generation           uint64
}

// fleetLineEvery is the least time between two lines about the fleet.
const fleetLineEvery = time.Second

// share divides the rates and connections by what was heard.
func (n *news) share(now time.Time) {
	silent, ok := n.gossiper.Expected(now)
	if !ok {
		silent = sharer.AssumedSilent
	}
	known, alive := n.gossiper.Count(now)
	size := fleetSize{known: known, alive: alive, silent: silent, generation: n.gossiper.Generation(now)}
	large := n.gossiper.IsLarge()
	n.mu.Lock()
	same := large && n.shared == size
	n.shared = size
	line := large && size != n.logged && now.Sub(n.loggedAt) >= fleetLineEvery
	if line {
		n.logged, n.loggedAt = size, now
	}
	n.mu.Unlock()
	if line {
		n.Journal.Belief("fleet-changed", journaler.F("known", known), journaler.F("alive", alive), journaler.F("expected", silent),
			journaler.F("speaks", n.gossiper.Speaks(now)))
	}
	if same {
		return
	}
	peers := make([]sharer.Peer, known)
	if !large {
		peers = n.demands(now)
	}
	heard := float64(alive+1) / float64(known+silent+1)
	n.Sharer.SetPeers(now, peers, silent, heard, large, func(organisation string) float64 { return n.Borrower.Lends(now, organisation) })
	if c := n.Catalogue.Current(); c != nil {
		n.Dispatcher.SetShape(c.Groups, func(group string) float64 { return n.Ranking.Share(now, group) })
	}
}

// demands returns what the other VMs of a small fleet were asked for.
func (n *news) demands(now time.Time) []sharer.Peer {
	known := n.gossiper.Known(now)
	peers := make([]sharer.Peer, 0, len(known))
	for _, p := range known {
		demand := make(map[string]float64, len(p.Demand))
		for organisation, d := range p.Demand {
			demand[organisation] = float64(d) / demandScale
		}
		peers = append(peers, sharer.Peer{Name: p.Name, Demand: demand})
	}
	return peers
}

// hear takes another VM's message.
func (n *news) hear(now time.Time, m gossiper.Message) {
	for _, g := range m.Groups {
		if g.Primary != "" && n.Observer.Lead(now, g.Group, g.Primary, g.Term) {
			if n.gossiper.IsLarge() && n.gossiper.Speaks(now) {
				n.gossiper.Hurry()
			}
			n.Journal.Belief("primary-changed", journaler.Group(g.Group), journaler.Primary(g.Primary),
				journaler.Term(g.Term), journaler.Source(m.Name))
		}
		if g.Opened {
			n.Observer.Open(g.Group, g.Term)
		}
		if g.Position != (tracker.Position{}) && !m.Composed.IsZero() {
			n.Observer.Sample(g.Group, g.Term, m.Composed.Add(-g.Age), g.Position)
		}
	}
}
