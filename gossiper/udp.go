package gossiper

import (
	"net"
	"net/netip"

	"github.com/rotisserie/eris"
)

// UDP carries messages as UDP datagrams.
type UDP struct {
	*net.UDPConn
}

// NewUDP returns a UDP that listens at an address.
func NewUDP(a netip.AddrPort) (*UDP, error) {
	c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(a))
	if err != nil {
		return nil, eris.Wrapf(err, "listening for datagrams at %s", a)
	}
	return &UDP{UDPConn: c}, nil
}

// Send sends a datagram.
func (u *UDP) Send(to netip.AddrPort, b []byte) error {
	_, err := u.WriteToUDPAddrPort(b, to)
	return err
}

// Receive waits for a datagram and returns its length and where it came from.
func (u *UDP) Receive(b []byte) (int, netip.AddrPort, error) {
	return u.ReadFromUDPAddrPort(b)
}
