package accountant

import "net"

// listener is a listener whose connections are counted.
type listener struct {
	net.Listener
	accountant *Accountant
	purpose    string
}

// Listener returns a listener that counts the traffic of its connections for a purpose.
func (a *Accountant) Listener(l net.Listener, purpose string) net.Listener {
	return &listener{Listener: l, accountant: a, purpose: purpose}
}

// Accept waits for the next connection.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.accountant.Conn(c, l.purpose), nil
}
