package stager

import (
	"net"

	"github.com/apex/log"

	"github.com/marigoldgauge/marigoldgauge/endpointfaker"
	"github.com/marigoldgauge/marigoldgauge/loader"
	"github.com/marigoldgauge/marigoldgauge/timekeeper"
)

// Options change how a fleet is staged.
type Options struct {
	// Clock tells the present time; nil is the standard clock.
	Clock timekeeper.Clock
	// Log takes the logs of all VMs; nil is nowhere.
	Log log.Interface
	// ListenCallers opens a second listener for callers of a VM; nil is none.
	ListenCallers func(vm string) (net.Listener, error)
	// ListenOperators opens a second listener for operators of a VM; nil is none.
	ListenOperators func(vm string) (net.Listener, error)
	// ListenPlatform opens a second listener of the platform; nil is none.
	ListenPlatform func() (net.Listener, error)
	// OnExecute is told of every execution at an endpoint; nil is nobody.
	OnExecute func(group string, e endpointfaker.Execution)
	// RealEndpoints gives the listeners of the first group's instances; nil is in memory.
	RealEndpoints func(n int) net.Listener
	// Settings changes the settings of a VM before it starts; nil leaves them.
	Settings func(s *loader.Settings)
}
