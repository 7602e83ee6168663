package acceptor

import (
	"github.com/marigoldgauge/marigoldgauge/governor"
)

// Configuration gives the configuration in force.
type Configuration interface {
	// Index returns the configuration in force.
	Index() *governor.Index
	// Changed returns a channel that is closed when the next generation is in force.
	Changed() <-chan struct{}
}
