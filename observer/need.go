package observer

import "github.com/marigoldgauge/marigoldgauge/tracker"

// Need is what a statement asks of an instance.
type Need struct {
	// Group is the group that must serve it.
	Group string
	// Lead asks for the primary.
	Lead bool
	// After is the position that the log must hold; zero asks for none.
	After tracker.Position
	// Tried are the instances that have failed to serve it.
	Tried []string
}
