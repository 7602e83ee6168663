package networkfaker

import (
	"net"
	"net/netip"
	"sync"
)

// listener accepts in-memory connections to one address.
type listener struct {
	network   *Network
	host      string
	addr      netip.AddrPort
	accepted  chan net.Conn
	closeOnce sync.Once
	done      chan struct{}
}

// Accept waits for a connection.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepted:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close stops the listener.
func (l *listener) Close() error {
	l.closeOnce.Do(func() {
		l.network.mu.Lock()
		delete(l.network.listeners, l.addr)
		l.network.mu.Unlock()
		close(l.done)
	})
	return nil
}

// Addr returns the address that the listener listens on.
func (l *listener) Addr() net.Addr {
	return net.TCPAddrFromAddrPort(l.addr)
}
