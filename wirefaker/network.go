// Package wirefaker is a small stand-in for the network between VMs: named
// places, latency between them, and cuts in one direction or both.
//
// It connects either through buffered pipes in memory, which is what tests in
// virtual time need, or through real connections whose traffic it delays.
package wirefaker

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Latency returns the time that a byte takes from one place to another.
type Latency func(from, to string) time.Duration

// Network joins places. It is safe for concurrent use.
type Network struct {
	latency Latency

	mu        sync.Mutex
	listeners map[netip.AddrPort]*listener
	cuts      map[link]bool
	changed   chan struct{}
	next      uint16
	conns     map[*halfConn]struct{}
}

// link is the way from one place to another.
type link struct {
	from, to string
}

// New returns a Network without listeners.
func New(latency Latency) *Network {
	return &Network{
		latency:   latency,
		listeners: map[netip.AddrPort]*listener{},
		cuts:      map[link]bool{},
		changed:   make(chan struct{}),
		next:      40000,
		conns:     map[*halfConn]struct{}{},
	}
}

// Cut stops or heals the traffic from one place to another; what was sent
// meanwhile arrives after the cut is healed.
func (n *Network) Cut(from, to string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if cut {
		n.cuts[link{from, to}] = true
	} else {
		delete(n.cuts, link{from, to})
	}
	close(n.changed)
	n.changed = make(chan struct{})
}

// CutBoth stops or heals the traffic between two places.
func (n *Network) CutBoth(a, b string, cut bool) {
	n.Cut(a, b, cut)
	n.Cut(b, a, cut)
}

// Reaches reports whether traffic passes from one place to another.
func (n *Network) Reaches(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.cuts[link{from, to}]
}

// Delay returns the latency from one place to another.
func (n *Network) Delay(from, to string) time.Duration {
	return n.latency(from, to)
}

// state reports whether a link is cut, and a channel that is closed at the next change.
func (n *Network) state(l link) (cut bool, changed <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cuts[l], n.changed
}

// Listen opens a listener of a place at an address.
func (n *Network) Listen(place string, addr netip.AddrPort) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[addr] != nil {
		return nil, eris.Errorf("%s is in use", addr)
	}
	l := &listener{network: n, place: place, addr: addr, accepted: make(chan net.Conn, 1024), done: make(chan struct{})}
	n.listeners[addr] = l
	return l, nil
}

// Dialer returns the dial function of a place.
func (n *Network) Dialer(place string) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, _, addr string) (net.Conn, error) {
		to, err := netip.ParseAddrPort(addr)
		if err != nil {
			return nil, eris.Wrapf(err, "parsing the address %q", addr)
		}
		return n.dial(ctx, place, to)
	}
}

// dialTimeout bounds the opening of a connection, as the operating system does.
const dialTimeout = 20 * time.Second

// dial connects a place to an address; it takes a round trip.
func (n *Network) dial(ctx context.Context, place string, to netip.AddrPort) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[to]
	n.next++
	port := n.next
	n.mu.Unlock()
	if l == nil {
		return nil, eris.Errorf("connection to %s refused", to)
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	for _, way := range []link{{place, l.place}, {l.place, place}} {
		if err := n.pass(ctx, way); err != nil {
			return nil, err
		}
	}
	from := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), port)
	client, server := n.pair(place, l.place, from, to)
	select {
	case l.accepted <- server:
		return client, nil
	case <-l.done:
		_ = client.Close()
		return nil, eris.Errorf("connection to %s refused", to)
	}
}

// pass waits until a packet would have passed a link.
func (n *Network) pass(ctx context.Context, way link) error {
	timer := time.NewTimer(n.latency(way.from, way.to))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return ctx.Err()
	}
	for {
		cut, changed := n.state(way)
		if !cut {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// pair returns the two ends of a connection.
func (n *Network) pair(a, b string, from, to netip.AddrPort) (client, server net.Conn) {
	there := newHalf(n, link{a, b})
	back := newHalf(n, link{b, a})
	return &conn{in: back, out: there, local: from, remote: to}, &conn{in: there, out: back, local: to, remote: from}
}

// Reset breaks all connections of a place off, as the death of its process does.
func (n *Network) Reset(place string) {
	n.mu.Lock()
	var hit []*halfConn
	for h := range n.conns {
		if h.way.from == place || h.way.to == place {
			hit = append(hit, h)
		}
	}
	n.mu.Unlock()
	for _, h := range hit {
		h.reset()
	}
}
