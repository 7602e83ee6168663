package tracker

import "time"

// Requirement describes what a read requires of the instance that serves it.
type Requirement struct {
	// MinPosition is the lowest position that the read must see.
	MinPosition Position
	// MaxStaleness is the maximum age of the data.
	MaxStaleness time.Duration
}
