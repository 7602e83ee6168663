// Package gossiper lets the VMs of the fleet tell each other what they know.
//
// A lost or late message only makes the knowledge older; nothing that needs
// agreement is decided here.
package gossiper

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
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

// tell sends this VM's message to the others whose turn it is.
func (g *Gossiper) tell(urgent bool) {
	now := g.clock.Now()
	large := g.IsLarge()
	everyone := !large || urgent || now.Sub(g.toldFar) >= farInterval
	if everyone {
		g.toldFar = now
	}
	near, far := g.targets(now, large, everyone)
	g.spread(now, near, false)
	g.spread(now, far, true)
}

// targets returns the near VMs and, if everyone is told, the far ones. In a
// small fleet all are near.
func (g *Gossiper) targets(now time.Time, large, everyone bool) (near, far map[netip.AddrPort]bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	near, far = map[netip.AddrPort]bool{}, map[netip.AddrPort]bool{}
	for name, p := range g.peers {
		switch {
		case now.Sub(p.Heard) > goneAfter:
			delete(g.peers, name)
		case !large || p.AvailabilityZone == g.zone:
			near[p.Address] = true
		case everyone:
			far[p.Address] = true
		}
	}
	for name, s := range g.seeds {
		switch {
		case g.peers[name] != nil:
		case !large:
			near[s.address] = true
		case everyone:
			far[s.address] = true
		}
	}
	return near, far
}

// spread sends this VM's message to some others.
func (g *Gossiper) spread(now time.Time, targets map[netip.AddrPort]bool, far bool) {
	if len(targets) == 0 && far {
		return
	}
	m := g.compose(now, far)
	g.mu.Lock()
	g.sequence++
	m.Sequence = g.sequence
	g.self = m
	g.mu.Unlock()
	b, err := cbor.Marshal(m)
	if err != nil {
		panic(err)
	}
	for a := range targets {
		if a != m.Address {
			g.send(a, frameNews, b)
		}
	}
}

// The first byte of a datagram tells what follows.
const (
	frameNews byte = iota
	frameQuestion
	frameAnswer
)

// send sends one datagram. One that cannot be sent is as good as lost; silence tells.
func (g *Gossiper) send(to netip.AddrPort, frame byte, b []byte) {
	_ = g.transport.Send(to, append([]byte{frame}, b...))
}

// Topic tells questions of different parts apart.
type Topic byte

// topic is who answers the questions about one topic, and hears the answers.
type topic struct {
	answer func(now time.Time, question []byte) []byte
	hear   func(now time.Time, answer []byte)
}

// Handle lets answer reply to the questions of other VMs about a topic, and hear
// take the answers to this VM's. It is called before Run.
func (g *Gossiper) Handle(t Topic, answer func(now time.Time, question []byte) []byte, hear func(now time.Time, answer []byte)) {
	g.topics[t] = topic{answer: answer, hear: hear}
}

// Ask sends a question about a topic to a VM; the answer may never come.
func (g *Gossiper) Ask(to netip.AddrPort, t Topic, question []byte) {
	g.send(to, frameQuestion, append([]byte{byte(t)}, question...))
}

// receive takes the messages of the others until ctx ends.
func (g *Gossiper) receive(ctx context.Context) error {
	b := make([]byte, maxMessage)
	for {
		n, from, err := g.transport.Receive(b)
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			continue
		}
		if n > 0 {
			g.dispatch(from, b[0], b[1:n])
		}
	}
}

// dispatch takes one datagram; one that is not understood is passed over.
func (g *Gossiper) dispatch(from netip.AddrPort, frame byte, b []byte) {
	switch frame {
	case frameNews:
		var m Message
		if cbor.Unmarshal(b, &m) == nil {
			g.take(m)
		}
	case frameQuestion, frameAnswer:
		if len(b) > 0 {
			g.converse(from, frame, Topic(b[0]), b[1:])
		}
	}
}

// converse takes a question or an answer about a topic.
func (g *Gossiper) converse(from netip.AddrPort, frame byte, about Topic, b []byte) {
	t, ok := g.topics[about]
	if !ok {
		return
	}
	if frame == frameAnswer {
		t.hear(g.clock.Now(), b)
		return
	}
	if a := t.answer(g.clock.Now(), b); a != nil {
		g.send(from, frameAnswer, append([]byte{byte(about)}, a...))
	}
}

// take notes a message unless a later one of the same VM has come.
func (g *Gossiper) take(m Message) {
	now := g.clock.Now()
	g.mu.Lock()
	p := g.peers[m.Name]
	stale := m.Name == g.self.Name || (p != nil && p.outdates(now, m))
	if !stale {
		// A process that has just started should not wait for its news.
		if p == nil || p.Incarnation != m.Incarnation {
			defer func() {
				large := g.IsLarge()
				g.spread(now, map[netip.AddrPort]bool{m.Address: true}, large && m.AvailabilityZone != g.zone)
			}()
		}
		g.peers[m.Name] = &Peer{Message: m, Heard: now}
	}
	g.mu.Unlock()
	if !stale {
		g.heard(now, m)
	}
}
