package connector

import "time"

// waiter is a caller that waits for a connection.
type waiter struct {
	organisation string
	// whoever reports that a connection of any organisation will do.
	whoever bool
	since   time.Time
	// priority orders the line; 0 goes first.
	priority int
	// within is the time in which it needs the connection; 0 sets no bound.
	within time.Duration
	result chan result
}

// result is what a waiter gets.
type result struct {
	link *Link
	err  error
}

// takes reports whether a connection of an organisation will do.
func (w *waiter) takes(organisation string) bool {
	return w.whoever || w.organisation == organisation
}
