package networkfaker

import (
	"net"
	"net/netip"
	"time"
)

// conn is one end of an in-memory connection.
type conn struct {
	in, out       *halfConn
	local, remote netip.AddrPort
}

// Read receives data.
func (c *conn) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	return c.in.receive(p)
}

// Write sends data.
func (c *conn) Write(p []byte) (int, error) {
	return c.out.send(p)
}

// Close closes both directions.
func (c *conn) Close() error {
	c.out.closeSender()
	c.in.closeReceiver()
	return nil
}

// LocalAddr returns the address of this end.
func (c *conn) LocalAddr() net.Addr {
	return net.TCPAddrFromAddrPort(c.local)
}

// RemoteAddr returns the address of the other end.
func (c *conn) RemoteAddr() net.Addr {
	return net.TCPAddrFromAddrPort(c.remote)
}

// SetDeadline sets the read deadline; writes never block.
func (c *conn) SetDeadline(t time.Time) error {
	c.in.setDeadline(t)
	return nil
}

// SetReadDeadline sets the read deadline.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.in.setDeadline(t)
	return nil
}

// SetWriteDeadline does nothing, because writes never block.
func (c *conn) SetWriteDeadline(time.Time) error {
	return nil
}
