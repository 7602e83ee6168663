package dater

import (
	"sync"
	"time"
)

// preferenceWindow is how long a timestamp is preferred to later ones with a longer
// transit time: the clocks of two VMs drift apart by a few milliseconds in it.
const preferenceWindow = 30 * time.Second

// Book keeps the timestamps received from other processes. It is safe for concurrent use.
type Book[K comparable] struct {
	mu      sync.Mutex
	entries map[K]entry
}

// entry is a timestamp with the time at which it was received.
type entry struct {
	stamp      Stamp
	receivedAt time.Time
}

// NewBook returns an empty Book.
func NewBook[K comparable]() *Book[K] {
	return &Book[K]{entries: map[K]entry{}}
}

// Take keeps a received timestamp, unless an earlier timestamp had a shorter transit time.
func (b *Book[K]) Take(now time.Time, from K, s Stamp) {
	if !s.Valid() {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	kept, ok := b.entries[from]
	if ok && kept.stamp.Process == s.Process && now.Sub(kept.receivedAt) < preferenceWindow && kept.advancedTo(now).At > s.At {
		return
	}
	b.entries[from] = entry{stamp: s, receivedAt: now}
}

// Present returns the earliest time that the clock of a process can show now; ok
// is false until a timestamp of that process was received.
func (b *Book[K]) Present(now time.Time, of K) (s Stamp, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e, ok := b.entries[of]
	if !ok {
		return Stamp{}, false
	}
	return e.advancedTo(now), true
}

// advancedTo returns the timestamp advanced to now.
func (e entry) advancedTo(now time.Time) Stamp {
	return Stamp{Process: e.stamp.Process, At: e.stamp.At + now.Sub(e.receivedAt)}
}
