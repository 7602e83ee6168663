// Package gossiper lets the VMs of the fleet tell each other what they know.
//
// A lost or late message only makes the knowledge older; nothing that needs
// agreement is decided here.
package gossiper

import (
	"context"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/marigoldgauge/marigoldgauge/clocker"
)

const (
	// interval is the time between two messages to a near VM: a change of demand
	// is known within a tenth of the window in which rates are counted.
	interval = 500 * time.Millisecond
	// farInterval is that time for VMs of other availability zones in a large
	// fleet, where they are many and the way has its price.
	farInterval = 3 * time.Second
	// Large is the number of VMs above which a fleet counts as large.
	Large = 16
	// lostMessages is the number of messages in a row that may be lost before a
	// VM counts as silent.
	lostMessages = 4
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
	zone      string
	compose   func(now time.Time, far bool) Message
	heard     func(now time.Time, m Message)
	topics    map[Topic]topic

	urgent     chan struct{}
	urgentNear chan struct{}

	mu       sync.Mutex
	self     Message
	peers    map[string]*Peer
	seeds    map[string]seed
	seeded   bool
	seededAt time.Time
	sequence uint64
	toldFar  time.Time
}

// New returns a Gossiper of an availability zone. compose writes this VM's
// message but for its sequence, a shorter one for far VMs of a large fleet;
// heard is told of each message of another VM.
func New(t Transport, c clocker.Clock, zone string, compose func(now time.Time, far bool) Message, heard func(now time.Time, m Message)) *Gossiper {
	return &Gossiper{transport: t, clock: c, zone: zone, compose: compose, heard: heard, peers: map[string]*Peer{}, topics: map[Topic]topic{}, urgent: make(chan struct{}, 1), urgentNear: make(chan struct{}, 1)}
}

// seed is a VM that may not have been heard yet.
type seed struct {
	address netip.AddrPort
	since   time.Time
}

// Seed names the VMs of the fleet with their addresses.
func (g *Gossiper) Seed(now time.Time, vms map[string]netip.AddrPort) {
	g.mu.Lock()
	defer g.mu.Unlock()
	seeds := make(map[string]seed, len(vms))
	for name, a := range vms {
		since := now
		if have, ok := g.seeds[name]; ok && have.address == a {
			since = have.since
		}
		seeds[name] = seed{address: a, since: since}
	}
	if !g.seeded {
		defer g.Hurry()
	}
	g.seeds, g.seeded, g.seededAt = seeds, true, now
}

// Seeded reports whether the VMs of the fleet were named within a time.
func (g *Gossiper) Seeded(now time.Time, within time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.seeded && now.Sub(g.seededAt) < within
}

// Expected returns the number of VMs that belong to the fleet and may yet be
// heard; ok is false while the fleet is not known at all.
func (g *Gossiper) Expected(now time.Time) (n int, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for name, s := range g.seeds {
		if g.peers[name] == nil && now.Sub(s.since) < expectFor {
			n++
		}
	}
	return n, g.seeded || len(g.peers) > 0
}

// Alive returns the other VMs that were heard a moment ago, in ascending order of name.
func (g *Gossiper) Alive(now time.Time) []Peer {
	large := g.IsLarge()
	return g.filter(func(p *Peer) bool { return now.Sub(p.Heard) < g.aliveFor(p, large) })
}

// Near returns the other VMs of this availability zone that were heard a moment ago.
func (g *Gossiper) Near(now time.Time) []Peer {
	return g.filter(func(p *Peer) bool { return p.AvailabilityZone == g.zone && now.Sub(p.Heard) < lostMessages*interval })
}

// aliveFor returns the time without a message after which a VM counts as silent.
func (g *Gossiper) aliveFor(p *Peer, large bool) time.Duration {
	if large && p.AvailabilityZone != g.zone {
		return lostMessages * farInterval
	}
	return lostMessages * interval
}

// IsLarge reports whether the fleet counts as large.
func (g *Gossiper) IsLarge() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.peers) >= Large || len(g.seeds) >= Large
}

// Known returns the other VMs that are not known to be gone.
func (g *Gossiper) Known(now time.Time) []Peer {
	return g.filter(func(p *Peer) bool { return now.Sub(p.Heard) < goneAfter })
}

// Members returns all VMs that belong to the fleet or were heard of late, also
// those that are silent.
func (g *Gossiper) Members(now time.Time) []Peer {
	out := g.Known(now)
	g.mu.Lock()
	defer g.mu.Unlock()
	for name, s := range g.seeds {
		if g.peers[name] == nil {
			out = append(out, Peer{Message: Message{Name: name, Address: s.address}})
		}
	}
	return out
}

// filter returns the peers that pass a test.
func (g *Gossiper) filter(keep func(p *Peer) bool) []Peer {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []Peer
	for _, p := range g.peers {
		if keep(p) {
			out = append(out, *p)
		}
	}
	slices.SortFunc(out, func(a, b Peer) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// Hurry sends the next message at once, to everyone.
func (g *Gossiper) Hurry() { signal(g.urgent) }

// HurryNear sends the next message at once, in a large fleet only to near VMs.
func (g *Gossiper) HurryNear() { signal(g.urgentNear) }

// signal wakes whoever waits for a channel.
func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
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
		g.tell(urgent)
		select {
		case <-ticker.C:
			urgent = false
		case <-g.urgent:
			urgent = true
		case <-g.urgentNear:
			urgent = false
		case <-ctx.Done():
		}
	}
	return group.Wait()
}
