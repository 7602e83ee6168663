package configurator

import (
	"time"
)

// FleetStatus describes the running fleet for a plan. In the zero value nothing is known.
type FleetStatus struct {
	// Callers counts the connected callers by organisation.
	Callers map[string]int
	// Lag is the largest current replica lag; zero if unknown.
	Lag time.Duration
}
