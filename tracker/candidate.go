package tracker

import "time"

// Candidate is an instance that may serve a read.
type Candidate struct {
	// ID names the instance.
	ID string
	// Primary reports whether the instance is the primary.
	Primary bool
	// Staleness bounds the age of the data on the instance.
	Staleness time.Duration
}
