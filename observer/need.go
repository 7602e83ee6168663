package observer

import "github.com/marigoldgauge/marigoldgauge/tracker"

// Requirements holds the requirements of a statement on the instance that runs it.
type Requirements struct {
	// Group is the group that must run the statement.
	Group string
	// NeedsPrimary requires the primary.
	NeedsPrimary bool
	// MinPosition is the position that the log must include; zero requires none.
	MinPosition tracker.Position
	// Exclude holds the ids of the instances on which the statement has already failed.
	Exclude []string
}
