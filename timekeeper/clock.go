// Package timekeeper provides the clocks from which a process reads the current time.
package timekeeper

import "time"

// Clock provides the current time.
type Clock interface {
	// Now returns the current time.
	Now() time.Time
}

// ClockFunc adapts a function to a Clock.
type ClockFunc func() time.Time

// Now returns the result of the function.
func (f ClockFunc) Now() time.Time {
	return f()
}
