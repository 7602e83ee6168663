package forwarder

import "github.com/marigoldgauge/marigoldgauge/configurator"

// Configuration provides the configuration in force.
type Configuration interface {
	// Index returns the configuration in force.
	Index() *configurator.Index
	// Changed returns a channel that is closed when the next generation takes effect.
	Changed() <-chan struct{}
}
