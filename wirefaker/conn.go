package wirefaker

import (
	"net"
	"net/netip"
	"time"
)

// conn is one end of a connection.
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

// Close ends both directions.
func (c *conn) Close() error {
	c.out.close()
	c.in.abandon()
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

// SetDeadline bounds reads; writes never wait.
func (c *conn) SetDeadline(t time.Time) error {
	c.in.setDeadline(t)
	return nil
}

// SetReadDeadline bounds reads.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.in.setDeadline(t)
	return nil
}

// SetWriteDeadline does nothing: writes never wait.
func (c *conn) SetWriteDeadline(time.Time) error {
	return nil
}
