package assembler

import (
	"time"

	"go.uber.org/dig"

	"github.com/marigoldgauge/marigoldgauge/borrower"
	"github.com/marigoldgauge/marigoldgauge/cataloguer"
	"github.com/marigoldgauge/marigoldgauge/dispatcher"
	"github.com/marigoldgauge/marigoldgauge/gossiper"
	"github.com/marigoldgauge/marigoldgauge/journaler"
	"github.com/marigoldgauge/marigoldgauge/loader"
	"github.com/marigoldgauge/marigoldgauge/observer"
	"github.com/marigoldgauge/marigoldgauge/sessioner"
	"github.com/marigoldgauge/marigoldgauge/sharer"
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
	State      *state
}

// news is what this VM tells the others and hears from them.
type news struct {
	newsParts
	settings loader.Hosted
	gossiper *gossiper.Gossiper
}

// compose writes this VM's message.
func (n *news) compose(now time.Time, far bool) gossiper.Message {
	n.share(now)
	m := gossiper.Message{
		Name: n.settings.VM.ID, AvailabilityZone: n.settings.VM.AvailabilityZone, Address: n.settings.Listen.Peers, Incarnation: n.State.incarnation,
		Leaving: n.Sessions.Leaving(), StoreUnreachable: n.State.storeLost.Load(), Demand: map[string]uint32{},
		Listing: n.State.listing.Load(), Fresh: n.State.watches.Load() && !n.State.storeLost.Load(),
	}
	m.Version = n.Catalogue.Version()
	if !n.gossiper.IsLarge() {
		for organisation, demand := range n.Sharer.Tell(now) {
			m.Demand[organisation] = uint32(demand * demandScale)
		}
	}
	for _, group := range n.Observer.Groups() {
		primary, term, ok := n.Observer.Primary(group)
		unreached := n.Observer.Unreached(group)
		if ok && (!far || !unreached.IsZero() || now.Sub(n.Observer.Since(group)) < tellFarFor) {
			lost := !unreached.IsZero() && now.Sub(unreached) > unreachedAfter
			m.Groups = append(m.Groups, gossiper.GroupNews{Group: group, Primary: primary, Term: term,
				Opened: n.Observer.Opened(now, group), Unreached: lost, Reached: !lost && now.Sub(n.Observer.PrimaryAnswered(group)) < reachedFor})
		}
	}
	return m
}

// unreachedAfter is the time without an answer after which other VMs are told
// that a primary cannot be reached.
const unreachedAfter = 300 * time.Millisecond

// tellFarFor is how long far VMs of a large fleet are told of a new primary;
// after that all have heard.
const tellFarFor = 30 * time.Second

// reachedFor is how long an answer of a primary speaks for it: a few VMs always
// have one that recent while it serves.
const reachedFor = 500 * time.Millisecond

// share divides the rates and connections by what was heard.
func (n *news) share(now time.Time) {
	known := n.gossiper.Known(now)
	peers := make([]sharer.Peer, 0, len(known))
	for _, p := range known {
		demand := make(map[string]float64, len(p.Demand))
		for organisation, d := range p.Demand {
			demand[organisation] = float64(d) / demandScale
		}
		peers = append(peers, sharer.Peer{Name: p.Name, Demand: demand})
	}
	silent, ok := n.gossiper.Expected(now)
	if !ok {
		silent = sharer.AssumedSilent
	}
	alive := len(n.gossiper.Alive(now))
	heard := float64(alive+1) / float64(len(known)+silent+1)
	n.Sharer.SetPeers(now, peers, silent, heard, n.gossiper.IsLarge(), func(organisation string) bool { return n.Borrower.Lends(now, organisation) })
	if c := n.Catalogue.Current(); c != nil {
		n.Dispatcher.SetShape(c.Groups, alive+1)
	}
}

// hear takes another VM's message.
func (n *news) hear(now time.Time, m gossiper.Message) {
	for _, g := range m.Groups {
		if n.Observer.Lead(now, g.Group, g.Primary, g.Term) {
			n.Journal.Belief("primary-changed", journaler.Group(g.Group), journaler.Primary(g.Primary),
				journaler.Term(g.Term), journaler.Source(m.Name))
		}
		if g.Opened {
			n.Observer.Open(g.Group, g.Term)
		}
	}
}
