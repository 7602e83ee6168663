package pooler

import (
	"github.com/marigoldgauge/marigoldgauge/configurator"
)

// Configuration provides the active configuration.
type Configuration interface {
	// Index returns the index of the active configuration.
	Index() *configurator.Index
}
