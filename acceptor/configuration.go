package acceptor

import (
	"github.com/marigoldgauge/marigoldgauge/governor"
)

// Configuration provides the configuration in force.
type Configuration interface {
	// Index returns the configuration in force.
	Index() *governor.Index
	// Changed returns a channel that is closed when the next generation takes effect.
	Changed() <-chan struct{}
}
