// Package clocker reads the present time at the edge of a process.
package clocker

import "time"

// Clock tells the present time.
type Clock interface {
	// Now returns the present time.
	Now() time.Time
}

// Func adapts a function to a Clock.
type Func func() time.Time

// Now calls the function.
func (f Func) Now() time.Time {
	return f()
}
