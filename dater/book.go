package dater

import (
	"sync"
	"time"
)

// keepFor is how long a stamp is preferred to later ones that took longer on
// their way: the clocks of two VMs drift apart by a few milliseconds in it.
const keepFor = 30 * time.Second

// Book keeps the stamps that other processes gave out. It is safe for concurrent use.
type Book[K comparable] struct {
	mu      sync.Mutex
	entries map[K]entry
}

// entry is a stamp with the time at which it came.
type entry struct {
	stamp Stamp
	taken time.Time
}

// NewBook returns an empty Book.
func NewBook[K comparable]() *Book[K] {
	return &Book[K]{entries: map[K]entry{}}
}

// Take keeps a stamp of a process, unless an earlier one was faster on its way.
func (b *Book[K]) Take(now time.Time, from K, s Stamp) {
	if !s.Valid() {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	have, ok := b.entries[from]
	if ok && have.stamp.Process == s.Process && now.Sub(have.taken) < keepFor && have.at(now).At > s.At {
		return
	}
	b.entries[from] = entry{stamp: s, taken: now}
}

// Present returns the earliest time that it can be now by the clock of a
// process; ok is false while none of its stamps is known.
func (b *Book[K]) Present(now time.Time, of K) (s Stamp, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e, ok := b.entries[of]
	if !ok {
		return Stamp{}, false
	}
	return e.at(now), true
}

// at returns the stamp advanced to the present time.
func (e entry) at(now time.Time) Stamp {
	return Stamp{Process: e.stamp.Process, At: e.stamp.At + now.Sub(e.taken)}
}
