package connector

import "time"

// waiter is a caller that waits for a connection.
type waiter struct {
	organisation string
	// anyOrganisation reports whether the caller can use a connection of any
	// organisation.
	anyOrganisation bool
	queuedAt        time.Time
	// priority orders the queue; 0 goes first. At equal priority the lower tag goes
	// first.
	priority int
	tag      time.Duration
	// maxWait is the maximum time to wait for a connection; 0 means no limit.
	maxWait time.Duration
	result  chan waitResult
}

// waitResult is the connection or the error that a waiter receives.
type waitResult struct {
	conn *PooledConn
	err  error
}

// canUse reports whether the waiter can use a connection of an organisation.
func (w *waiter) canUse(organisation string) bool {
	return w.anyOrganisation || w.organisation == organisation
}

// goesBefore reports whether a waiter goes before another one that was queued earlier.
func (w *waiter) goesBefore(o *waiter) bool {
	if w.priority != o.priority {
		return w.priority < o.priority
	}
	return w.tag < o.tag
}
