package scheduler

import "time"

// flow is the queue and the virtual time of one organisation within a Queue.
type flow struct {
	organisation string
	virtualStart time.Duration
	meanCost     time.Duration
	items        []*Item
	head         int
}

// len returns the number of queued requests.
func (f *flow) len() int {
	return len(f.items) - f.head
}

// pop removes the oldest request.
func (f *flow) pop() *Item {
	i := f.items[f.head]
	f.items[f.head] = nil
	f.head++
	if f.head == len(f.items) {
		f.items = f.items[:0]
		f.head = 0
	}
	return i
}

// remove removes and returns the requests for which drop returns true.
func (f *flow) remove(drop func(*Item) bool) []*Item {
	var out, kept []*Item
	for _, i := range f.items[f.head:] {
		if drop(i) {
			out = append(out, i)
		} else {
			kept = append(kept, i)
		}
	}
	f.items = kept
	f.head = 0
	return out
}
