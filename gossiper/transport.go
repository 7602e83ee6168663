package gossiper

import "net/netip"

// Transport carries datagrams, which may be lost.
type Transport interface {
	// Send sends a datagram.
	Send(to netip.AddrPort, b []byte) error
	// Receive waits for a datagram and returns its length and where it came from.
	Receive(b []byte) (int, netip.AddrPort, error)
	// Close ends Receive.
	Close() error
}
