package accountant

import (
	"net"
	"syscall"
)

// conn is a connection whose reads and writes are counted.
type conn struct {
	net.Conn
	accountant *Accountant
	purpose    string
}

// Conn returns a connection that counts its writes and reads for a purpose.
func (a *Accountant) Conn(c net.Conn, purpose string) net.Conn {
	if a == nil {
		return c
	}
	counted := &conn{Conn: c, accountant: a, purpose: purpose}
	if raw, ok := c.(syscall.Conn); ok {
		return &rawConn{conn: counted, Conn: raw}
	}
	return counted
}

// rawConn is a conn with a file descriptor.
type rawConn struct {
	*conn
	syscall.Conn
}

// Read reads from the connection.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.accountant.Received(c.purpose, n)
	}
	return n, err
}

// Write writes to the connection.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	if n > 0 {
		c.accountant.Sent(c.purpose, n)
	}
	return n, err
}
