package observer

import "github.com/marigoldgauge/marigoldgauge/tracker"

// Need holds the requirements of a statement on the instance that runs it.
type Need struct {
	// Group is the group that must run the statement.
	Group string
	// Lead requires the primary.
	Lead bool
	// After is the position that the log must include; zero requires none.
	After tracker.Position
	// Tried holds the ids of the instances on which the statement has already failed.
	Tried []string
}
