package connector

import "time"

// waiter is a caller that waits for a connection.
type waiter struct {
	organisation string
	// anyOrganisation reports that a connection of any organisation will do.
	anyOrganisation bool
	queuedAt        time.Time
	// priority orders the line; 0 goes first. Among equals the lower tag does.
	priority int
	tag      time.Duration
	// maxWait is the time in which it needs the connection; 0 sets no bound.
	maxWait time.Duration
	result  chan dialResult
}

// dialResult is what a waiter gets.
type dialResult struct {
	link *PooledConn
	err  error
}

// canUse reports whether a connection of an organisation will do.
func (w *waiter) canUse(organisation string) bool {
	return w.anyOrganisation || w.organisation == organisation
}

// goesBefore reports whether a waiter goes before another one that came earlier.
func (w *waiter) goesBefore(o *waiter) bool {
	if w.priority != o.priority {
		return w.priority < o.priority
	}
	return w.tag < o.tag
}
