package gossiper

import "net/netip"

// Transport sends and receives datagrams, which may be lost.
type Transport interface {
	// Send sends a datagram.
	Send(to netip.AddrPort, b []byte) error
	// Receive waits for a datagram and returns its length and its sender.
	Receive(b []byte) (int, netip.AddrPort, error)
	// Close closes the transport and makes Receive return an error.
	Close() error
}
