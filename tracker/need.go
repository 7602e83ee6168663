package tracker

import "time"

// Need states what a read requires of the instance that serves it.
type Need struct {
	// Required is the position that the session must see.
	Required Position
	// MaxStaleness bounds the age of the data.
	MaxStaleness time.Duration
}
