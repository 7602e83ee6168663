package gossiper

import (
	"net"
	"net/netip"

	"github.com/rotisserie/eris"
)

// UDP is a Transport over UDP.
type UDP struct {
	*net.UDPConn
}

// NewUDP returns a UDP that listens on an address.
func NewUDP(a netip.AddrPort) (*UDP, error) {
	c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(a))
	if err != nil {
		return nil, eris.Wrapf(err, "listening for UDP datagrams on %s", a)
	}
	return &UDP{UDPConn: c}, nil
}

// Send sends a datagram.
func (u *UDP) Send(to netip.AddrPort, b []byte) error {
	_, err := u.WriteToUDPAddrPort(b, to)
	return err
}

// Receive waits for a datagram and returns its length and its sender.
func (u *UDP) Receive(b []byte) (int, netip.AddrPort, error) {
	return u.ReadFromUDPAddrPort(b)
}
