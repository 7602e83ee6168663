package governor

import (
	"time"
)

// Facts are what a plan knows of the running fleet; the zero value knows nothing.
type Facts struct {
	// Callers counts the connected callers by organisation.
	Callers map[string]int
	// Lag is the largest lag of a replica at hand; zero if unknown.
	Lag time.Duration
}
