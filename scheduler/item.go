package scheduler

import "time"

// Item is a queued request for a slot.
type Item struct {
	// Organisation is the organisation that the request belongs to.
	Organisation string
	// Deadline is the time after which the request is rejected.
	Deadline time.Time
	// Queued is the time at which the request was enqueued.
	Queued time.Time

	resolved   chan bool
	redirected bool
}

// NewItem returns an Item that is enqueued at now and expires at deadline.
func NewItem(now time.Time, organisation string, deadline time.Time) *Item {
	return &Item{Organisation: organisation, Deadline: deadline, Queued: now, resolved: make(chan bool, 1)}
}

// Resolved delivers true when the request is granted a slot, and false when it is rejected.
func (i *Item) Resolved() <-chan bool {
	return i.resolved
}

// Redirect rejects the item because another endpoint must serve it.
func (i *Item) Redirect() {
	i.redirected = true
	i.resolved <- false
}

// Redirected reports whether another endpoint must serve the item. The result
// is valid once the item has been rejected.
func (i *Item) Redirected() bool {
	return i.redirected
}

// Resolve grants the item a slot if ok is true, and rejects it otherwise.
func (i *Item) Resolve(ok bool) {
	i.resolved <- ok
}
