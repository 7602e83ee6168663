package timestamper

import (
	"sync"
	"time"
)

// preferenceWindow is how long a timestamp is preferred to later ones with a longer
// transit time: the clocks of two VMs drift apart by a few milliseconds in it.
const preferenceWindow = 30 * time.Second

// Cache keeps the timestamps received from other processes. It is safe for concurrent use.
type Cache[K comparable] struct {
	mu      sync.Mutex
	entries map[K]entry
}

// entry is a timestamp with the time at which it was received.
type entry struct {
	stamp      Timestamp
	receivedAt time.Time
}

// NewCache returns an empty Cache.
func NewCache[K comparable]() *Cache[K] {
	return &Cache[K]{entries: map[K]entry{}}
}

// Add keeps a received timestamp, unless an earlier timestamp had a shorter transit time.
func (b *Cache[K]) Add(now time.Time, from K, s Timestamp) {
	if !s.Valid() {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	kept, ok := b.entries[from]
	if ok && kept.stamp.ProcessID == s.ProcessID && now.Sub(kept.receivedAt) < preferenceWindow && kept.advancedTo(now).Elapsed > s.Elapsed {
		return
	}
	b.entries[from] = entry{stamp: s, receivedAt: now}
}

// Advanced returns the earliest time that the clock of a process can show now; ok
// is false until a timestamp of that process was received.
func (b *Cache[K]) Advanced(now time.Time, of K) (s Timestamp, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e, ok := b.entries[of]
	if !ok {
		return Timestamp{}, false
	}
	return e.advancedTo(now), true
}

// advancedTo returns the timestamp advanced to now.
func (e entry) advancedTo(now time.Time) Timestamp {
	return Timestamp{ProcessID: e.stamp.ProcessID, Elapsed: e.stamp.Elapsed + now.Sub(e.receivedAt)}
}
