// Package confirmer decides when a committed write may be acknowledged.
//
// A write committed in a term is confirmed once a majority of the group's
// instances, asked after the commit response arrived, still follow that term. A
// promoter raises the term on a majority before it promotes an instance, so the
// two majorities share an instance: no confirmed write was committed by a
// primary that had been replaced. The clocks of other VMs are not used.
package confirmer

import "time"

// Term tells a Confirmer which terms a majority of the instances follows.
type Term interface {
	// ConfirmedAt returns the latest time as of which a majority is known to follow term.
	ConfirmedAt(term uint64) time.Time
	// Deposed reports whether a majority follows a later term.
	Deposed(term uint64) bool
}

// Confirmer holds the writes that wait for confirmation.
//
// A Confirmer is not safe for concurrent use.
type Confirmer struct {
	pending []*Write
}

// New returns a Confirmer without pending writes.
func New() *Confirmer {
	return &Confirmer{}
}

// Add registers a write that waits for the confirmation of its term.
//
// A write whose term is already confirmed or deposed is settled at once.
func (c *Confirmer) Add(now time.Time, term uint64, committed time.Time, deadline time.Time, t Term) *Write {
	w := &Write{Term: term, Committed: committed, Deadline: deadline, done: make(chan struct{})}
	if !w.settle(now, t) {
		c.pending = append(c.pending, w)
	}
	return w
}

// Settle settles all writes that can be decided and returns how many are pending.
func (c *Confirmer) Settle(now time.Time, t Term) int {
	pending := c.pending[:0]
	for _, w := range c.pending {
		if !w.settle(now, t) {
			pending = append(pending, w)
		}
	}
	clear(c.pending[len(pending):])
	c.pending = pending
	return len(pending)
}

// PendingCount returns the number of pending writes.
func (c *Confirmer) PendingCount() int {
	return len(c.pending)
}

// Abandon settles all pending writes as not confirmed. It is called once the
// instances are no longer probed.
func (c *Confirmer) Abandon() {
	for _, w := range c.pending {
		close(w.done)
	}
	c.pending = nil
}
