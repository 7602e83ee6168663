package tracker

import "time"

// Candidate is an instance that may serve a read.
type Candidate struct {
	// ID identifies the instance.
	ID string
	// Primary reports whether the instance is the primary.
	Primary bool
	// Staleness is an upper bound on the age of the data on the instance.
	Staleness time.Duration
}
