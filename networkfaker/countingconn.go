package networkfaker

import (
	"context"
	"net"
	"sync/atomic"
)

// CountingConn is a connection that counts the bytes of both directions.
type CountingConn struct {
	net.Conn
	// Bytes is the counter that the bytes are added to.
	Bytes *atomic.Int64
}

// CountingDialer returns a dial function for real connections that counts their
// bytes.
func CountingDialer(bytes *atomic.Int64) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return CountingConn{Conn: c, Bytes: bytes}, nil
	}
}

// Read receives data and counts it.
func (c CountingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.Bytes.Add(int64(n))
	return n, err
}

// Write sends data and counts it.
func (c CountingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.Bytes.Add(int64(n))
	return n, err
}
