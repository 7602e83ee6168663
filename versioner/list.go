// Package versioner keeps versions of a list of the store's objects, and computes the
// changes from an earlier version to the current one, so that VMs send each other
// changes instead of whole lists.
//
// The version of a list is the revision of the store up to which it is complete. A change
// of one object costs in proportion to what changed, not to the length of the list.
package versioner

import (
	"cmp"
	"maps"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/marigoldgauge/marigoldgauge/keeper"
)

const (
	// minRemoved is the number of removed objects that are remembered in any case, beyond that
	// as many as there are objects: the loss of an availability zone removes a third of the
	// list. Older versions than those get the whole list.
	minRemoved = 1024
	// minCompaction is the number of entries of the log up to which outdated ones are kept.
	minCompaction = 256
)

// List is a list of objects with its version. It is safe for concurrent use.
type List struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]keeper.Object
	// hash is the sum of the hashes of the objects.
	hash uint64
	// removed holds the revision as of which an object is known to be removed.
	removed map[string]uint64
	// oldest is the earliest revision from which the changes are known.
	oldest uint64
	// log holds the changes after oldest in ascending order of revision. An entry is
	// outdated once its object has another revision.
	log []entry
	// diverged reports that changes did not lead to the sender's list.
	diverged bool
}

// NewList returns an empty list without a version.
func NewList() *List {
	return &List{objects: map[string]keeper.Object{}, removed: map[string]uint64{}}
}

// Revision returns the revision up to which the list is complete; zero if none was set.
func (l *List) Revision() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.revision
}

// Base returns the revision after which to request changes; zero to request the whole list.
func (l *List) Base() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.diverged {
		return 0
	}
	return l.revision
}

// Objects returns the objects in ascending order of key.
func (l *List) Objects() []keeper.Object {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sorted()
}

// Update applies an update as read from the store, unless a later version is known. It
// returns what is new relative to the previous list, and reports whether the update was
// applied.
//
// Each update that is not whole has to follow the preceding one without a gap. An object of
// it with an older revision than the known one is ignored.
func (l *List) Update(u Update) (Update, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if u.Whole {
		return l.replace(u.Revision, u.Objects)
	}
	if l.revision == 0 || u.Revision < l.revision {
		return Update{}, false
	}
	u.Objects = slices.DeleteFunc(slices.Clone(u.Objects), func(o keeper.Object) bool { return o.Revision < l.objects[o.Key].Revision })
	next := merge(u.Objects, u.Removed)
	return l.commit(u.Revision, next, u.Removed, l.hashWith(next)), true
}

// Apply applies the changes from an earlier version, unless a later version is known. It
// returns what is new relative to the previous list, and reports whether the changes were
// applied. Changes that start after the known version, or that do not lead to the sender's
// list, are not applied; after the latter, Base requests the whole list.
func (l *List) Apply(c Changes) (Update, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.After == 0 {
		return l.replace(c.Revision, c.Objects)
	}
	if c.Revision < l.revision || c.After > l.revision {
		return Update{}, false
	}
	next := merge(c.Objects, c.Removed)
	hash := l.hashWith(next)
	if hash != c.Hash {
		l.diverged = true
		return Update{}, false
	}
	return l.commit(c.Revision, next, c.Removed, hash), true
}

// Span identifies the changes after a revision.
func (l *List) Span(after uint64) Span {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.span(after)
}

// ChangesAfter returns the changes after a revision, or the whole list if they are not known.
func (l *List) ChangesAfter(revision uint64) Changes {
	l.mu.Lock()
	defer l.mu.Unlock()
	span := l.span(revision)
	if span.After == 0 {
		return Changes{Revision: l.revision, Objects: l.sorted()}
	}
	c := Changes{After: revision, Revision: l.revision, Hash: l.hash, Objects: []keeper.Object{}}
	for _, e := range l.log[searchEntries(l.log, revision):] {
		if o, ok := l.objects[e.key]; ok && o.Revision == e.revision {
			c.Objects = append(c.Objects, o)
		} else if !ok && l.removed[e.key] == e.revision {
			c.Removed = append(c.Removed, e.key)
		}
	}
	sortObjects(c.Objects)
	slices.Sort(c.Removed)
	// An object that was removed and listed again as before has two entries.
	c.Objects = slices.CompactFunc(c.Objects, func(a, b keeper.Object) bool { return a.Key == b.Key })
	c.Removed = slices.Compact(c.Removed)
	return c
}

// span identifies the changes after a revision. The caller holds the lock.
func (l *List) span(after uint64) Span {
	if after < l.oldest || after > l.revision {
		after = 0
	}
	return Span{After: after, Revision: l.revision, Hash: l.hash}
}

// replace sets the whole list, which holds each key once, unless a later version is known, and returns
// what is new. The caller holds the lock.
func (l *List) replace(revision uint64, list []keeper.Object) (Update, bool) {
	// Also after a refused list, changes are requested again. Otherwise the whole list would be
	// requested until another VM has a later one.
	l.diverged = false
	if revision < l.revision {
		return Update{}, false
	}
	if l.revision == 0 {
		l.oldest = revision
	}
	var changed []keeper.Object
	var removed []string
	objects := make(map[string]keeper.Object, len(list))
	hash := uint64(0)
	for _, o := range list {
		known, ok := l.objects[o.Key]
		switch {
		case ok && sameObject(known, o):
			// Keeping the known object lets the memory of the received one be freed.
			o = known
		case len(l.objects) > 0:
			changed = append(changed, o)
		}
		objects[o.Key] = o
		hash += hashOf(o)
	}
	if len(l.objects) == 0 {
		changed = list
	}
	for key := range l.objects {
		if _, ok := objects[key]; !ok {
			removed = append(removed, key)
		}
	}
	slices.Sort(removed)
	l.objects, l.hash, l.revision = objects, hash, revision
	l.record(changed, removed)
	return Update{Revision: revision, Objects: changed, Removed: removed}, true
}

// merge returns the objects that changed, by key; nil for those that were removed. An object
// that is both in objects and in removed was not removed.
func merge(objects []keeper.Object, removed []string) map[string]*keeper.Object {
	next := make(map[string]*keeper.Object, len(objects)+len(removed))
	for _, key := range removed {
		next[key] = nil
	}
	for i := range objects {
		next[objects[i].Key] = &objects[i]
	}
	return next
}

// hashWith returns the hash of the list with changes. The caller holds the lock.
func (l *List) hashWith(next map[string]*keeper.Object) uint64 {
	hash := l.hash
	for key, o := range next {
		if known, ok := l.objects[key]; ok {
			hash -= hashOf(known)
		}
		if o != nil {
			hash += hashOf(*o)
		}
	}
	return hash
}

// commit applies changes that lead to a hash, and returns what is new. The caller holds the
// lock.
func (l *List) commit(revision uint64, next map[string]*keeper.Object, removed []string, hash uint64) Update {
	u := Update{Revision: revision}
	for _, key := range slices.Sorted(maps.Keys(next)) {
		known, ok := l.objects[key]
		switch o := next[key]; {
		case o == nil && ok:
			u.Removed = append(u.Removed, key)
			delete(l.objects, key)
		case o != nil && (!ok || !sameObject(known, *o)):
			u.Objects = append(u.Objects, *o)
			l.objects[key] = *o
		}
	}
	l.revision, l.hash = revision, hash
	// Objects that were added and removed in between are recorded as removed too, since
	// other VMs may have them.
	l.record(u.Objects, slices.DeleteFunc(slices.Clone(removed), func(key string) bool { return next[key] != nil }))
	return u
}

// record records changes as of the current revision. The caller holds the lock.
func (l *List) record(changed []keeper.Object, removed []string) {
	var entries []entry
	for _, o := range changed {
		delete(l.removed, o.Key)
		if o.Revision > l.oldest {
			entries = append(entries, entry{o.Revision, o.Key})
		}
	}
	for _, key := range removed {
		l.removed[key] = l.revision
		entries = append(entries, entry{l.revision, key})
	}
	l.log = insertEntries(l.log, entries)
	l.forgetRemoved()
	if len(l.log) > minCompaction+2*(len(l.objects)+len(l.removed)) {
		l.log = slices.DeleteFunc(l.log, l.outdated)
	}
}

// outdated reports whether the object of an entry changed since. The caller holds the lock.
func (l *List) outdated(e entry) bool {
	if o, ok := l.objects[e.key]; ok {
		return o.Revision != e.revision
	}
	return l.removed[e.key] != e.revision
}

// forgetRemoved deletes the oldest removed objects beyond those that are remembered, and the
// log up to them. The caller holds the lock.
func (l *List) forgetRemoved() {
	maxRemoved := max(minRemoved, len(l.objects))
	n := 0
	for ; n < len(l.log) && (len(l.removed) > maxRemoved || l.log[n].revision <= l.oldest); n++ {
		e := l.log[n]
		if at, ok := l.removed[e.key]; ok && at == e.revision {
			delete(l.removed, e.key)
			l.oldest = max(l.oldest, at)
		}
	}
	l.log = l.log[n:]
}

// hashOf returns the hash of the key and version of an object.
func hashOf(o keeper.Object) uint64 {
	var buffer [128]byte
	b := append(buffer[:0], o.Key...)
	b = append(b, '@')
	return xxhash.Sum64(append(b, o.Version...))
}

// sameObject reports whether two objects with the same key are the same version.
func sameObject(a, b keeper.Object) bool {
	return a.Version == b.Version && a.Revision == b.Revision
}

// sorted returns the objects in ascending order of key. The caller holds the lock.
func (l *List) sorted() []keeper.Object {
	out := slices.AppendSeq(make([]keeper.Object, 0, len(l.objects)), maps.Values(l.objects))
	sortObjects(out)
	return out
}

// sortObjects sorts objects in ascending order of key.
func sortObjects(objects []keeper.Object) {
	slices.SortFunc(objects, func(a, b keeper.Object) int { return cmp.Compare(a.Key, b.Key) })
}
