package tracker

import "time"

// Need describes what a read requires of the instance that serves it.
type Need struct {
	// Required is the lowest position that the read must see.
	Required Position
	// MaxStaleness is the maximum age of the data.
	MaxStaleness time.Duration
}
