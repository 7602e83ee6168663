// Package gossiper exchanges state between the VMs of the fleet by a gossip protocol.
//
// In a small fleet every VM sends its messages to every other VM. In a large fleet a
// VM reports to the relays of its availability zone. The relays of all availability
// zones exchange the VMs that report to them, and forward changes to their own
// reporters. So the traffic of a VM does not grow with the fleet, and the load of a
// relay grows with the number of VMs that report to it.
//
// A lost or late message only makes the state older; nothing that needs consensus
// is decided here.
package gossiper

import (
	"context"
	"math"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/marigoldgauge/marigoldgauge/timekeeper"
	"github.com/marigoldgauge/marigoldgauge/timestamper"
)

const (
	// interval is the time between two messages to a VM of the same availability
	// zone, or of a small fleet. With it, a change of demand is known within a tenth
	// of the window over which rates are measured.
	interval = 500 * time.Millisecond
	// crossZoneRounds is the number of intervals between two messages of a relay to the
	// relays of other availability zones, since cross-zone traffic has a cost.
	crossZoneRounds = 2
	// minSendGap is the minimum time between two messages sent ahead of the
	// interval; later changes wait for the next message.
	minSendGap = 100 * time.Millisecond
	// LargeFleet is the number of VMs above which a fleet counts as large.
	LargeFleet = 16
	// maxLostMessages is the number of consecutive messages that may be lost before a
	// VM counts as silent.
	maxLostMessages = 4
	// silenceTimeout is the time without a message after which a VM counts as silent,
	// and crossZoneSilenceTimeout the same for a relay of another availability zone.
	silenceTimeout          = maxLostMessages * interval
	crossZoneSilenceTimeout = maxLostMessages * crossZoneRounds * interval
	// forgetTimeout is the time without a message after which a VM's state is deleted.
	forgetTimeout = 20 * time.Second
	// expectTimeout is how long a VM that has sent no message yet is expected to do so.
	// A killed process restarts within this time.
	expectTimeout = 5 * time.Second
	// maxDatagramBytes is the size of the largest datagram that can be received.
	maxDatagramBytes = 64 << 10
)

// Gossiper exchanges messages with the other VMs. It is safe for concurrent use.
type Gossiper struct {
	transport  Transport
	clock      timekeeper.Clock
	process    uint64
	name       string
	zone       string
	compose    func(now time.Time, to Audience) Message
	onMessage  func(now time.Time, m Message)
	topics     map[Topic]topic
	attachment attachment
	counter    Counter
	issuer     *timestamper.Issuer
	peerStamps *timestamper.Cache[netip.AddrPort]
	exchanges  *exchanges

	sendNow chan struct{}

	mu          sync.Mutex
	self        Message
	peers       map[string]*Peer
	seeds       map[string]*seed
	relayStates map[string]*relayState
	// triedAt holds the time of the first message sent to a VM as a relay that it has
	// not responded to.
	triedAt map[string]time.Time
	// seedChanges and attemptChanges count the changes of seeds and triedAt. zonesOfSeeds
	// holds the availability zones of the seeds as of the change zonesAsOf.
	seedChanges, attemptChanges, zonesAsOf uint64

	zonesOfSeeds map[string]bool
	relayLists   map[string]*relayList

	seeded   bool
	seededAt time.Time
	sequence uint64
	// knowsGroups reports that a relay has sent the states of all groups.
	knowsGroups bool
	newVMGroups groupStates
	rounds      int
	// sentContested holds the groups of the last digest that named all contested groups to VMs
	// without votes, in ascending order. Only sendRound uses it.
	sentContested []string

	changes changes
	roster  roster
}

// New returns a Gossiper of the VM name in an availability zone. compose returns
// this VM's message without its sequence; onMessage is called with each new message of
// another VM. counter counts the datagrams.
func New(t Transport, c timekeeper.Clock, counter Counter, name, zone string, compose func(now time.Time, to Audience) Message, onMessage func(now time.Time, m Message)) *Gossiper {
	process := rand.Uint64N(math.MaxUint64) + 1
	return &Gossiper{
		transport: t, clock: c, process: process, counter: counter, name: name, zone: zone, compose: compose, onMessage: onMessage, topics: map[Topic]topic{},
		issuer: timestamper.NewIssuer(process, c.Now()), peerStamps: timestamper.NewCache[netip.AddrPort](), sendNow: make(chan struct{}, 1),
		peers: map[string]*Peer{}, seeds: map[string]*seed{}, relayStates: map[string]*relayState{}, triedAt: map[string]time.Time{}, changes: newChanges(),
		exchanges: newExchanges(rand.Uint32()), relayLists: map[string]*relayList{},
	}
}

// SendNow makes Run send the next message ahead of the interval, subject to minSendGap.
func (g *Gossiper) SendNow() {
	select {
	case g.sendNow <- struct{}{}:
	default:
	}
}

// Run exchanges messages until ctx is done.
func (g *Gossiper) Run(ctx context.Context) error {
	var group errgroup.Group
	group.Go(func() error { return g.receive(ctx) })
	group.Go(func() error {
		<-ctx.Done()
		return g.transport.Close()
	})
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	urgent := true
	for ctx.Err() == nil {
		g.sendRound(g.clock.Now(), urgent)
		urgent = g.wait(ctx, ticker.C)
	}
	return group.Wait()
}

// wait waits until the next message is due, and reports whether it was requested
// by SendNow.
func (g *Gossiper) wait(ctx context.Context, tick <-chan time.Time) bool {
	floor := time.NewTimer(minSendGap)
	defer floor.Stop()
	select {
	case <-floor.C:
	case <-ctx.Done():
		return false
	}
	select {
	case <-tick:
		return false
	case <-g.sendNow:
		return true
	case <-ctx.Done():
		return false
	}
}
