package observer

import (
	"sync"
	"time"

	"github.com/marigoldgauge/marigoldgauge/timekeeper"
)

// UnlistedGrace is how long an instance that is missing from the platform's list is
// kept. Entries that expired while the store was unavailable are listed again within
// about 2 s of its recovery.
const UnlistedGrace = 2500 * time.Millisecond

// InstanceList is the platform's list of instances, in which instances that are missing for a
// short time after an outage of the store are kept. It is safe for concurrent use.
type InstanceList struct {
	mu      sync.Mutex
	entries map[string]*listEntry
	// unlisted holds the entries that are missing from the platform's list.
	unlisted map[string]*listEntry
	// changed holds the entries that were added or changed since the last call of Changes.
	changed []*listEntry
	// asOf is the time as of which the list was the platform's before the next update; zero stands
	// for the time of the update. knownAsOf holds the times as of which instances that were missing
	// were last listed, since the last call of TakeKnownAsOf.
	asOf      time.Time
	knownAsOf map[string]time.Time
}

// listEntry is an instance with the time from which it is missing from the list; zero
// while it is listed.
type listEntry struct {
	Instance
	unlistedAt time.Time
	// knownAsOf is the time as of which it was last listed before.
	knownAsOf time.Time
	// isChanged reports that the entry is in the changed ones.
	isChanged bool
}

// NewInstanceList returns an empty InstanceList.
func NewInstanceList() *InstanceList {
	return &InstanceList{entries: map[string]*listEntry{}, unlisted: map[string]*listEntry{}, knownAsOf: map[string]time.Time{}}
}

// SetAsOf records the time as of which the list was the platform's before the next update.
func (r *InstanceList) SetAsOf(asOf time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.asOf = asOf
}

// TakeKnownAsOf returns the times as of which the instances were last listed before they were
// missing that have been listed again or dropped since the last call.
func (r *InstanceList) TakeKnownAsOf() map[string]time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.knownAsOf
	r.knownAsOf = map[string]time.Time{}
	return known
}

// Update applies changes of the platform's list as of now: the instances that were added or
// changed, and the ids of those that were removed. It reports whether they change more than
// the warm-up time left of instances.
func (r *InstanceList) Update(now time.Time, changed []Instance, removed []string) (relevant bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, i := range changed {
		e := r.entries[i.ID]
		switch {
		case e == nil:
			e = &listEntry{}
			r.entries[i.ID] = e
			relevant = true
		case !e.unlistedAt.IsZero():
			e.unlistedAt, relevant = time.Time{}, true
			r.knownAsOf[i.ID] = e.knownAsOf
			delete(r.unlisted, i.ID)
		case e.Instance == i:
			continue
		default:
			relevant = relevant || !e.equalExceptWarmup(i)
		}
		e.Instance = i
		if !e.isChanged {
			e.isChanged = true
			r.changed = append(r.changed, e)
		}
	}
	for _, id := range removed {
		if e := r.entries[id]; e != nil && e.unlistedAt.IsZero() {
			e.unlistedAt, e.knownAsOf, relevant = now, now, true
			if !r.asOf.IsZero() {
				e.knownAsOf = timekeeper.Earlier(now, r.asOf)
			}
			r.unlisted[id] = e
		}
	}
	return relevant
}

// equalExceptWarmup reports whether two instances differ at most in the warm-up time
// left, which expires by itself.
func (i Instance) equalExceptWarmup(o Instance) bool {
	warm, otherWarm := i.WarmupLeft > 0, o.WarmupLeft > 0
	i.WarmupLeft, o.WarmupLeft = 0, 0
	return i == o && warm == otherWarm
}

// HasUnlisted reports whether an instance is kept that is missing from the platform's list.
func (r *InstanceList) HasUnlisted() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.unlisted) > 0
}

// Changes returns the instances that were added or changed since the last call, and the
// ids of those that are dropped as of now. An instance that announced that it is about to stop is
// dropped as soon as it is not listed, another one after UnlistedGrace.
func (r *InstanceList) Changes(now time.Time) (changed []Instance, removed []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, e := range r.unlisted {
		if e.Leaving || now.Sub(e.unlistedAt) >= UnlistedGrace {
			delete(r.unlisted, id)
			delete(r.entries, id)
			r.knownAsOf[id] = e.knownAsOf
			removed = append(removed, id)
		}
	}
	for _, e := range r.changed {
		e.isChanged = false
		if r.entries[e.ID] == e {
			changed = append(changed, e.Instance)
		}
	}
	r.changed = nil
	return changed, removed
}
