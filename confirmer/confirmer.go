// Package confirmer decides when a committed write may be acknowledged.
//
// A write committed in a term is confirmed once a majority of the group's
// instances, asked after the commit was answered, still follow that term. A
// promoter raises the term on a majority before it promotes, so the two
// majorities share an instance: no confirmed write was committed by a primary
// that had been replaced. No clock of another VM takes part.
package confirmer

import "time"

// Term is what a Confirmer needs to know of a term.
type Term interface {
	// ConfirmedAt returns the latest time at which a majority still followed term.
	ConfirmedAt(term uint64) time.Time
	// Deposed reports whether a majority follows a later term.
	Deposed(term uint64) bool
}

// Confirmer holds the writes that wait for confirmation.
//
// A Confirmer is not safe for concurrent use.
type Confirmer struct {
	waiting []*Write
}

// New returns a Confirmer without writes.
func New() *Confirmer {
	return &Confirmer{}
}

// Add starts to wait for the confirmation of a write.
//
// A write whose term is confirmed already, or never will be, is settled at once.
func (c *Confirmer) Add(now time.Time, term uint64, committed time.Time, deadline time.Time, t Term) *Write {
	w := &Write{Term: term, Committed: committed, Deadline: deadline, done: make(chan struct{})}
	if !w.settle(now, t) {
		c.waiting = append(c.waiting, w)
	}
	return w
}

// Settle decides all writes that can be decided and returns how many still wait.
func (c *Confirmer) Settle(now time.Time, t Term) int {
	kept := c.waiting[:0]
	for _, w := range c.waiting {
		if !w.settle(now, t) {
			kept = append(kept, w)
		}
	}
	clear(c.waiting[len(kept):])
	c.waiting = kept
	return len(kept)
}

// Waiting returns the number of writes that wait.
func (c *Confirmer) Waiting() int {
	return len(c.waiting)
}

// Abandon settles all writes as not confirmed, when nobody asks the instances any more.
func (c *Confirmer) Abandon() {
	for _, w := range c.waiting {
		close(w.done)
	}
	c.waiting = nil
}
