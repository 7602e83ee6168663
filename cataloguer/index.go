package cataloguer

import (
	"iter"
	"maps"

	"github.com/cespare/xxhash/v2"
)

// indexShards is the number of shards of an Index: with 12,000 entries, a change of one
// entry copies some 50 of them.
const indexShards = 256

// Index is a map that is never modified. The Index after a change shares the shards without
// a change with the one before. The zero value is an empty Index.
type Index[V any] struct {
	shards *[indexShards]*shard[V]
	length int
}

// shard holds the entries of the keys with the same hash modulo indexShards.
type shard[V any] struct {
	entries map[string]V
}

// shardOf returns the number of the shard of a key.
func shardOf(key string) int { return int(xxhash.Sum64String(key) % indexShards) }

// Get returns the value of a key.
func (x Index[V]) Get(key string) (value V, ok bool) {
	if x.shards == nil {
		return value, false
	}
	s := x.shards[shardOf(key)]
	if s == nil {
		return value, false
	}
	value, ok = s.entries[key]
	return value, ok
}

// Len returns the number of keys.
func (x Index[V]) Len() int { return x.length }

// All returns the keys and values in no particular order.
func (x Index[V]) All() iter.Seq2[string, V] {
	return func(yield func(string, V) bool) {
		if x.shards == nil {
			return
		}
		for _, s := range x.shards {
			for key, value := range s.all() {
				if !yield(key, value) {
					return
				}
			}
		}
	}
}

// all returns the entries of a shard; nil has none.
func (s *shard[V]) all() map[string]V {
	if s == nil {
		return nil
	}
	return s.entries
}

// Since returns the entries that an earlier Index lacks or has with another value, and the
// keys of the earlier one that are gone. Shared shards are not looked at.
func (x Index[V]) Since(earlier Index[V], equal func(a, b V) bool) (changed map[string]V, removed []string) {
	changed = map[string]V{}
	if x.shards == earlier.shards {
		return changed, nil
	}
	for n := range indexShards {
		var now, before *shard[V]
		if x.shards != nil {
			now = x.shards[n]
		}
		if earlier.shards != nil {
			before = earlier.shards[n]
		}
		if now == before {
			continue
		}
		for key, value := range now.all() {
			if old, ok := before.all()[key]; !ok || !equal(old, value) {
				changed[key] = value
			}
		}
		for key := range before.all() {
			if _, ok := now.all()[key]; !ok {
				removed = append(removed, key)
			}
		}
	}
	return changed, removed
}

// indexEditor makes a changed Index. It copies each shard at its first change.
type indexEditor[V any] struct {
	index Index[V]
	owned [indexShards]bool
	// shardSize is the expected number of entries of a shard without entries.
	shardSize int
}

// edit returns an editor whose result starts as x, for a number of entries to add.
func (x Index[V]) edit(added int) *indexEditor[V] {
	e := &indexEditor[V]{shardSize: added / indexShards, index: Index[V]{shards: &[indexShards]*shard[V]{}, length: x.length}}
	if x.shards != nil {
		*e.index.shards = *x.shards
	}
	return e
}

// own returns the shard of a key for modification.
func (e *indexEditor[V]) own(key string) map[string]V {
	n := shardOf(key)
	if !e.owned[n] {
		entries := maps.Clone(e.index.shards[n].all())
		if entries == nil {
			entries = make(map[string]V, e.shardSize)
		}
		e.index.shards[n], e.owned[n] = &shard[V]{entries: entries}, true
	}
	return e.index.shards[n].entries
}

// set sets the value of a key.
func (e *indexEditor[V]) set(key string, value V) {
	entries := e.own(key)
	before := len(entries)
	entries[key] = value
	e.index.length += len(entries) - before
}

// remove removes a key.
func (e *indexEditor[V]) remove(key string) {
	entries := e.own(key)
	before := len(entries)
	delete(entries, key)
	e.index.length += len(entries) - before
}
