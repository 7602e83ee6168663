package confirmer

import "time"

// Write is a committed write that waits for the confirmation of its term.
type Write struct {
	// Term is the term in which the write committed.
	Term uint64
	// Committed is the time at which the commit response arrived.
	Committed time.Time
	// Deadline is the time after which the write counts as unconfirmed.
	Deadline time.Time

	confirmed bool
	done      chan struct{}
}

// Done returns a channel that is closed when the write is settled.
func (w *Write) Done() <-chan struct{} {
	return w.done
}

// Confirmed reports, once Done is closed, whether the write may be acknowledged.
func (w *Write) Confirmed() bool {
	return w.confirmed
}

// settle settles the write if it can be decided, and reports whether it did.
func (w *Write) settle(now time.Time, t Term) bool {
	switch {
	case !t.ConfirmedAt(w.Term).Before(w.Committed):
		w.confirmed = true
	case t.Deposed(w.Term), !now.Before(w.Deadline):
		w.confirmed = false
	default:
		return false
	}
	close(w.done)
	return true
}
