package connector

import "time"

// waiter is a caller that waits for a connection.
type waiter struct {
	organisation string
	// whoever reports that a connection of any organisation will do.
	whoever bool
	since   time.Time
	// priority orders the line; 0 goes first. Among equals the lower tag does.
	priority int
	tag      time.Duration
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

// before reports whether a waiter goes before another one that came earlier.
func (w *waiter) before(o *waiter) bool {
	if w.priority != o.priority {
		return w.priority < o.priority
	}
	return w.tag < o.tag
}
