// Package gossiper lets the VMs of the fleet tell each other what they know.
//
// In a small fleet every VM tells every other one. In a large fleet a VM tells
// the speakers of its availability zone; the speakers of all availability zones
// tell each other who reports to them, and pass on to their reporters what
// changed. So what a VM sends and hears does not grow with the fleet, and what a
// speaker does grows with the VMs that report to it.
//
// A lost or late message only makes the knowledge older; nothing that needs
// agreement is decided here.
package gossiper

import (
	"context"
	"math"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/marigoldgauge/marigoldgauge/clocker"
	"github.com/marigoldgauge/marigoldgauge/dater"
)

const (
	// interval is the time between two messages to a VM of the same availability
	// zone, or of a small fleet: a change of demand is known within a tenth of the
	// window in which rates are counted.
	interval = 500 * time.Millisecond
	// farEvery is the number of intervals between two messages of a speaker to
	// those of other availability zones, where the way has its price.
	farEvery = 2
	// hurryFloor is the least time between two hurried messages; what comes
	// meanwhile goes with the next one.
	hurryFloor = 100 * time.Millisecond
	// Large is the number of VMs above which a fleet counts as large.
	Large = 16
	// lostMessages is the number of messages in a row that may be lost before a
	// VM counts as silent.
	lostMessages = 4
	// silentAfter is the time without a message after which a VM counts as silent,
	// and farSilentAfter that of a speaker of another availability zone.
	silentAfter    = lostMessages * interval
	farSilentAfter = lostMessages * farEvery * interval
	// goneAfter is the time without a message after which a VM is forgotten.
	goneAfter = 20 * time.Second
	// expectFor is how long a VM that was never heard is counted: a killed
	// process is back within it.
	expectFor = 5 * time.Second
	// maxMessage is the largest datagram that is read.
	maxMessage = 64 << 10
)

// Gossiper exchanges messages with the other VMs. It is safe for concurrent use.
type Gossiper struct {
	transport Transport
	clock     clocker.Clock
	name      string
	zone      string
	compose   func(now time.Time, to Audience) Message
	heard     func(now time.Time, m Message)
	topics    map[Topic]topic
	issuer    *dater.Issuer
	stamps    *dater.Book[netip.AddrPort]

	urgent chan struct{}

	mu      sync.Mutex
	self    Message
	peers   map[string]*Peer
	seeds   map[string]*seed
	sources map[string]*source
	// tried is when a VM was first sent a message as a speaker without being heard.
	tried    map[string]time.Time
	seeded   bool
	seededAt time.Time
	sequence uint64
	rounds   int
	changes  changes
	roster   roster
}

// New returns a Gossiper of a VM in an availability zone. compose writes this
// VM's message but for its sequence; heard is told of each message of another VM.
func New(t Transport, c clocker.Clock, name, zone string, compose func(now time.Time, to Audience) Message, heard func(now time.Time, m Message)) *Gossiper {
	process := rand.Uint64N(math.MaxUint64) + 1
	return &Gossiper{
		transport: t, clock: c, name: name, zone: zone, compose: compose, heard: heard, topics: map[Topic]topic{},
		issuer: dater.NewIssuer(process, c.Now()), stamps: dater.NewBook[netip.AddrPort](), urgent: make(chan struct{}, 1),
		peers: map[string]*Peer{}, seeds: map[string]*seed{}, sources: map[string]*source{}, tried: map[string]time.Time{}, changes: newChanges(),
	}
}

// Hurry sends the next message at once.
func (g *Gossiper) Hurry() {
	select {
	case g.urgent <- struct{}{}:
	default:
	}
}

// Run exchanges messages until ctx ends.
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
		g.tell(g.clock.Now(), urgent)
		urgent = g.wait(ctx, ticker.C)
	}
	return group.Wait()
}

// wait waits until it is time for the next message, and reports whether it is a hurried one.
func (g *Gossiper) wait(ctx context.Context, tick <-chan time.Time) bool {
	floor := time.NewTimer(hurryFloor)
	defer floor.Stop()
	select {
	case <-floor.C:
	case <-ctx.Done():
		return false
	}
	select {
	case <-tick:
		return false
	case <-g.urgent:
		return true
	case <-ctx.Done():
		return false
	}
}
