package cataloguer

import "github.com/marigoldgauge/marigoldgauge/limiter"

// Organisation is a client organisation, identified by the keys of its callers.
type Organisation struct {
	// Name is the unique name of the organisation.
	Name string
	// Keys are the valid keys of the organisation.
	Keys []string
	// Limit is the rate and burst of the organisation across all VMs.
	Limit limiter.Limit
	// Priority orders the organisations; 0 is the highest.
	Priority int
}
