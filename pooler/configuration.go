package pooler

import (
	"github.com/marigoldgauge/marigoldgauge/governor"
)

// Configuration gives the configuration in force.
type Configuration interface {
	// Index returns the configuration in force.
	Index() *governor.Index
}
