package cataloguer

import "github.com/marigoldgauge/marigoldgauge/limiter"

// Organisation is who a caller's key belongs to.
type Organisation struct {
	// Name names the organisation.
	Name string
	// Keys are the keys in force.
	Keys []string
	// Limit is its rate and burst over the whole fleet.
	Limit limiter.Limit
	// Priority orders the organisations; 0 goes first.
	Priority int
}
