package runner

import (
	"context"
	"net"
	"net/http"
	"net/netip"

	"github.com/apex/log"

	"github.com/marigoldgauge/marigoldgauge/timekeeper"
)

// Environment holds the external dependencies of a process: the network, the clock
// and the log. Tests replace them.
type Environment struct {
	// Listen opens a listener.
	Listen func(addr netip.AddrPort) (net.Listener, error)
	// Dial opens a connection to another VM or an endpoint.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
	// StoreTransport is the HTTP transport to the platform's object store.
	StoreTransport http.RoundTripper
	// Clock returns the current time.
	Clock timekeeper.Clock
	// Log is the destination of log lines.
	Log log.Interface
	// Incarnation distinguishes successive processes of one VM; it is greater for a
	// later process.
	Incarnation uint64
}

// NewEnvironment returns the environment for production, with TCP and the clock of
// the system.
func NewEnvironment(l log.Interface) Environment {
	boot := timekeeper.NewBootClock()
	dialer := &net.Dialer{}
	return Environment{
		Listen: func(addr netip.AddrPort) (net.Listener, error) {
			return net.Listen("tcp", addr.String())
		},
		Dial:           dialer.DialContext,
		StoreTransport: http.DefaultTransport,
		Clock:          boot,
		Log:            l,
		Incarnation:    uint64(boot.Now().UnixNano()),
	}
}
