// Package networkfaker simulates the network between VMs: named hosts, the latency
// between them, and partitions in one direction or both.
//
// It connects hosts through buffered in-memory pipes, which tests in virtual time
// need. For real connections it gives the latency to delay their traffic by,
// counts bytes and merges listeners.
package networkfaker

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Latency returns the one-way latency from one host to another.
type Latency func(from, to string) time.Duration

// Network connects hosts. It is safe for concurrent use.
type Network struct {
	latency Latency

	mu               sync.Mutex
	listeners        map[netip.AddrPort]*listener
	partitioned      map[link]bool
	partitionChanged chan struct{}
	nextPort         uint16
	conns            map[*halfConn]struct{}
}

// link is the directed link from one host to another.
type link struct {
	from, to string
}

// New returns a Network without listeners.
func New(latency Latency) *Network {
	return &Network{
		latency:          latency,
		listeners:        map[netip.AddrPort]*listener{},
		partitioned:      map[link]bool{},
		partitionChanged: make(chan struct{}),
		nextPort:         40000,
		conns:            map[*halfConn]struct{}{},
	}
}

// Partition starts or heals a partition of the link from one host to another. Data sent
// during the partition is delivered after it is healed.
func (n *Network) Partition(from, to string, partition bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if partition {
		n.partitioned[link{from, to}] = true
	} else {
		delete(n.partitioned, link{from, to})
	}
	close(n.partitionChanged)
	n.partitionChanged = make(chan struct{})
}

// PartitionBoth starts or heals a partition of both links between two hosts.
func (n *Network) PartitionBoth(a, b string, partition bool) {
	n.Partition(a, b, partition)
	n.Partition(b, a, partition)
}

// Reachable reports whether the link from one host to another is not partitioned.
func (n *Network) Reachable(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.partitioned[link{from, to}]
}

// LinkLatency returns the latency from one host to another.
func (n *Network) LinkLatency(from, to string) time.Duration {
	return n.latency(from, to)
}

// linkState reports whether a link is partitioned, and returns a channel that is
// closed at the next change of any partition.
func (n *Network) linkState(l link) (partitioned bool, changed <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.partitioned[l], n.partitionChanged
}

// Listen opens a listener of a host at an address.
func (n *Network) Listen(host string, addr netip.AddrPort) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[addr] != nil {
		return nil, eris.Errorf("listening on %s: address already in use", addr)
	}
	l := &listener{network: n, host: host, addr: addr, accepted: make(chan net.Conn, 1024), done: make(chan struct{})}
	n.listeners[addr] = l
	return l, nil
}

// Dialer returns the dial function of a host.
func (n *Network) Dialer(host string) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, _, addr string) (net.Conn, error) {
		to, err := netip.ParseAddrPort(addr)
		if err != nil {
			return nil, eris.Wrapf(err, "parsing the address %q", addr)
		}
		return n.dial(ctx, host, to)
	}
}

// dialTimeout limits the time to open a connection, as the operating system does.
const dialTimeout = 20 * time.Second

// dial connects a host to an address. It takes one round trip.
func (n *Network) dial(ctx context.Context, host string, to netip.AddrPort) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[to]
	n.nextPort++
	port := n.nextPort
	n.mu.Unlock()
	if l == nil {
		return nil, eris.Errorf("dialling %s: connection refused", to)
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	for _, direction := range []link{{host, l.host}, {l.host, host}} {
		if err := n.waitForLink(ctx, direction); err != nil {
			return nil, err
		}
	}
	from := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), port)
	client, server := n.newConnPair(host, l.host, from, to)
	select {
	case l.accepted <- server:
		return client, nil
	case <-l.done:
		_ = client.Close()
		return nil, eris.Errorf("dialling %s: connection refused", to)
	}
}

// waitForLink waits for the latency of a link and until the link is not partitioned.
func (n *Network) waitForLink(ctx context.Context, direction link) error {
	timer := time.NewTimer(n.latency(direction.from, direction.to))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return ctx.Err()
	}
	for {
		partitioned, changed := n.linkState(direction)
		if !partitioned {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// newConnPair returns the two ends of a new connection.
func (n *Network) newConnPair(a, b string, from, to netip.AddrPort) (client, server net.Conn) {
	forward := newHalfConn(n, link{a, b})
	backward := newHalfConn(n, link{b, a})
	return &conn{in: backward, out: forward, local: from, remote: to}, &conn{in: forward, out: backward, local: to, remote: from}
}

// ResetConnections resets all connections of a host, as the end of its process does.
func (n *Network) ResetConnections(host string) {
	for _, h := range n.connsOf(host) {
		h.reset()
	}
}

// SilenceConnections makes all connections of a host go silent for good, as after a middlebox
// has lost its state. New connections work. It returns a function that resets those that are
// still open.
func (n *Network) SilenceConnections(host string) (reset func()) {
	affected := n.connsOf(host)
	for _, h := range affected {
		h.silence()
	}
	return func() {
		for _, h := range affected {
			h.reset()
		}
	}
}

// connsOf returns the directions of all connections of a host.
func (n *Network) connsOf(host string) []*halfConn {
	n.mu.Lock()
	defer n.mu.Unlock()
	var affected []*halfConn
	for h := range n.conns {
		if h.link.from == host || h.link.to == host {
			affected = append(affected, h)
		}
	}
	return affected
}
