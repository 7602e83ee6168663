package runner

import (
	"context"
	"net"
	"net/http"
	"net/netip"

	"github.com/apex/log"

	"github.com/marigoldgauge/marigoldgauge/timekeeper"
)

// Environment is what a process finds around it: the network, the clock and
// where its log goes. Tests replace it.
type Environment struct {
	// Listen opens a listener.
	Listen func(addr netip.AddrPort) (net.Listener, error)
	// Dial opens a connection to a VM or an endpoint.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
	// Store carries the calls to the platform's store.
	Store http.RoundTripper
	// Clock tells the present time.
	Clock timekeeper.Clock
	// Log takes the log.
	Log log.Interface
	// Incarnation tells the processes of one VM apart; a later one is greater.
	Incarnation uint64
}

// NewEnvironment returns the real environment.
func NewEnvironment(l log.Interface) Environment {
	boot := timekeeper.NewBootClock()
	dialer := &net.Dialer{}
	return Environment{
		Listen: func(addr netip.AddrPort) (net.Listener, error) {
			return net.Listen("tcp", addr.String())
		},
		Dial:        dialer.DialContext,
		Store:       http.DefaultTransport,
		Clock:       boot,
		Log:         l,
		Incarnation: uint64(boot.Now().UnixNano()),
	}
}
