// Package clocker provides the clocks from which a process reads the current time.
package clocker

import "time"

// Clock provides the current time.
type Clock interface {
	// Now returns the current time.
	Now() time.Time
}

// Func adapts a function to a Clock.
type Func func() time.Time

// Now returns the result of the function.
func (f Func) Now() time.Time {
	return f()
}
