package simulator

import (
	"net"

	"github.com/apex/log"

	"github.com/marigoldgauge/marigoldgauge/endpointfaker"
	"github.com/marigoldgauge/marigoldgauge/loader"
	"github.com/marigoldgauge/marigoldgauge/timekeeper"
)

// Options configure a fleet.
type Options struct {
	// Clock is the source of the current time; nil means the system clock.
	Clock timekeeper.Clock
	// Log is the logger of all VMs; nil discards their logs.
	Log log.Interface
	// ListenClients opens an additional client listener of a VM; nil opens none.
	ListenClients func(vm string) (net.Listener, error)
	// ListenOperators opens an additional operator listener of a VM; nil opens none.
	ListenOperators func(vm string) (net.Listener, error)
	// ListenPlatform opens an additional listener of the platform; nil opens none.
	ListenPlatform func() (net.Listener, error)
	// OnExecute is called for every execution at an endpoint, unless it is nil.
	OnExecute func(group string, e endpointfaker.Execution)
	// EndpointListener returns the listener of the n-th instance of the first group;
	// nil means listeners of the simulated network.
	EndpointListener func(n int) net.Listener
	// ModifySettings changes the settings of a VM before it starts; nil keeps them.
	ModifySettings func(s *loader.Settings)
}
