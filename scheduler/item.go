package scheduler

import "time"

// Item is a request that waits for a slot.
type Item struct {
	// Organisation is the organisation for which the request runs.
	Organisation string
	// Deadline is the time after which the request is refused.
	Deadline time.Time
	// Queued is the time at which the request began to wait.
	Queued time.Time

	granted chan bool
	moved   bool
}

// NewItem returns an Item that waits from now until the deadline.
func NewItem(now time.Time, organisation string, deadline time.Time) *Item {
	return &Item{Organisation: organisation, Deadline: deadline, Queued: now, granted: make(chan bool, 1)}
}

// Granted delivers true when the request got its slot, and false when it was refused.
func (i *Item) Granted() <-chan bool {
	return i.granted
}

// Move refuses the item because another endpoint must serve it.
func (i *Item) Move() {
	i.moved = true
	i.granted <- false
}

// Moved reports, once the item was refused, whether another endpoint must serve it.
func (i *Item) Moved() bool {
	return i.moved
}

// Grant settles the item.
func (i *Item) Grant(ok bool) {
	i.granted <- ok
}
