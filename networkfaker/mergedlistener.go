package networkfaker

import (
	"net"

	"golang.org/x/sync/errgroup"
)

// mergedListener is a listener that accepts the connections of two listeners.
type mergedListener struct {
	net.Listener
	other    net.Listener
	accepted chan net.Conn
	done     chan struct{}
}

// MergeListeners returns a listener that accepts the connections of both a and b. Its
// address is that of a.
func MergeListeners(a, b net.Listener) net.Listener {
	m := &mergedListener{Listener: a, other: b, accepted: make(chan net.Conn), done: make(chan struct{})}
	var group errgroup.Group
	for _, l := range []net.Listener{a, b} {
		group.Go(func() error {
			for {
				c, err := l.Accept()
				if err != nil {
					return nil
				}
				select {
				case m.accepted <- c:
				case <-m.done:
					_ = c.Close()
					return nil
				}
			}
		})
	}
	return m
}

// Accept waits for a connection.
func (m *mergedListener) Accept() (net.Conn, error) {
	select {
	case c := <-m.accepted:
		return c, nil
	case <-m.done:
		return nil, net.ErrClosed
	}
}

// Close stops both listeners.
func (m *mergedListener) Close() error {
	close(m.done)
	_ = m.other.Close()
	return m.Listener.Close()
}
