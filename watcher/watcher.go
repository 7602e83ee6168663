// Package watcher watches one prefix of the platform's store and passes on the
// changes of its objects, with the revision up to which they are complete.
package watcher

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/marigoldgauge/marigoldgauge/keeper"
	"github.com/marigoldgauge/marigoldgauge/timekeeper"
	"github.com/marigoldgauge/marigoldgauge/versioner"
)

const (
	// initialBackoff is the delay after a failed call. It doubles up to
	// maxBackoff, within which a change must be noticed once the store is back.
	initialBackoff = 100 * time.Millisecond
	maxBackoff     = 600 * time.Millisecond
	// batchDelay is the delay after a change, in which further changes accumulate.
	batchDelay = 150 * time.Millisecond
	// beginInterval is the interval at which ShouldStart is polled.
	beginInterval = 50 * time.Millisecond
	// maxSuspension is the longest time until Suspend is called again.
	maxSuspension = 500 * time.Millisecond
)

// Watcher watches the objects under one prefix.
type Watcher struct {
	// Store is the platform's store.
	Store Store
	// Prefix is the key prefix to watch.
	Prefix string
	// Wait returns how long one watch call waits. A connection that stops
	// responding is noticed within that time.
	Wait func() time.Duration
	// Clock tells the present time.
	Clock timekeeper.Clock
	// Apply receives an update after each successful call: the whole list after the first one
	// and whenever changes may have been missed, otherwise the changes since the preceding
	// update, of which there may be none.
	Apply func(u versioner.Update)
	// OnVerified, if set, receives after Apply the time as of which the objects were the
	// store's.
	OnVerified func(asOf time.Time)
	// MaxBackoff returns the maximum backoff while the store does not respond. Nil stands
	// for maxBackoff. VMs with a longer maximum let other VMs retry first.
	MaxBackoff func(now time.Time) time.Duration
	// Suspend returns for how long to suspend calls to the store, zero for not at all. Nil
	// never suspends them. It is called again within maxSuspension.
	Suspend func(now time.Time) time.Duration
	// MaxDelay returns for how long other VMs may go first when suspended calls resume: until
	// the objects may be outdated. Nil stands for the maximum backoff.
	MaxDelay func(now time.Time) time.Duration
	// ShouldStart reports whether to make the first call. Nil always allows it. KnownElsewhere
	// reports that the objects are known from another source, so that Suspend may
	// suspend calls before the first one.
	ShouldStart    func(now time.Time) bool
	KnownElsewhere func() bool
	// OnStoreCall receives the error of each call, nil if the store responded.
	OnStoreCall func(now time.Time, err error)

	// listed reports that the changes after watched lead to the store's objects; otherwise
	// the next call lists all objects.
	listed   bool
	revision uint64
	// watched is the revision after which the store is watched: lower than revision after the
	// store was restored from a copy.
	watched   uint64
	suspended bool
}

// Run watches the prefix until ctx ends.
func (f *Watcher) Run(ctx context.Context) error {
	backoff, failures := initialBackoff, 0
	for ctx.Err() == nil {
		if d := f.suspension(); d > 0 {
			f.suspended = true
			if !timekeeper.Sleep(ctx, min(d, maxSuspension)) {
				return nil
			}
			continue
		}
		if !f.listed && !f.suspended && f.ShouldStart != nil && !f.ShouldStart(f.Clock.Now()) {
			if !timekeeper.Sleep(ctx, beginInterval) {
				return nil
			}
			continue
		}
		limit := f.backoffLimit()
		if f.suspended {
			if limit > maxBackoff && !timekeeper.Sleep(ctx, f.resumeDelay(limit)) {
				return nil
			}
			if f.Suspend(f.Clock.Now()) > 0 {
				continue
			}
			// The store may have discarded the history since then, so the next call
			// lists all objects.
			f.suspended, f.listed = false, false
		}
		err := f.step(ctx)
		if ctx.Err() != nil {
			return nil
		}
		f.OnStoreCall(f.Clock.Now(), err)
		if err == nil {
			backoff, failures = initialBackoff, 0
			continue
		}
		// The first failure may be due to the connection only.
		if failures++; failures > 1 && limit > maxBackoff {
			backoff = limit
		}
		if !timekeeper.Sleep(ctx, backoff/2+rand.N(backoff)) {
			return nil
		}
		backoff = min(2*backoff, limit)
	}
	return nil
}

// suspension returns for how long to suspend calls to the store, zero for not at all.
func (f *Watcher) suspension() time.Duration {
	known := f.listed || (f.KnownElsewhere != nil && f.KnownElsewhere())
	if !known || f.Suspend == nil {
		return 0
	}
	return f.Suspend(f.Clock.Now())
}

// resumeDelay returns the delay before the first call after a suspension, in which other VMs
// may go first.
func (f *Watcher) resumeDelay(limit time.Duration) time.Duration {
	d := rand.N(limit)
	if f.MaxDelay == nil {
		return d
	}
	return min(d, f.MaxDelay(f.Clock.Now()))
}

// backoffLimit returns the current maximum backoff.
func (f *Watcher) backoffLimit() time.Duration {
	if f.MaxBackoff == nil {
		return maxBackoff
	}
	return max(f.MaxBackoff(f.Clock.Now()), maxBackoff)
}

// step makes one call to the store and applies its response.
func (f *Watcher) step(ctx context.Context) error {
	startedAt := f.Clock.Now()
	if !f.listed {
		page, err := f.Store.List(ctx, f.Prefix)
		if err != nil {
			return err
		}
		u := f.update(page)
		u.Whole, u.Removed = true, nil
		f.listed, f.watched = true, page.Revision
		f.Apply(u)
		f.recordVerified(startedAt)
		return nil
	}
	wait := f.Wait()
	page, err := f.Store.Watch(ctx, f.Prefix, f.watched, wait)
	if err != nil {
		return err
	}
	if page.TooOld {
		f.listed = false
		return nil
	}
	f.watched = max(f.watched, page.Revision)
	f.Apply(f.update(page))
	// A response that has been on its way for long is not taken for a later one.
	f.recordVerified(timekeeper.Earlier(f.Clock.Now(), startedAt.Add(wait)))
	if len(page.Objects) > 0 {
		// Changes often come in bursts, so that the next call returns several at once.
		timekeeper.Sleep(ctx, batchDelay)
	}
	return nil
}

// recordVerified passes on that the objects are the store's as of a time.
func (f *Watcher) recordVerified(asOf time.Time) {
	if f.OnVerified != nil {
		f.OnVerified(asOf)
	}
}

// update returns the update that a page stands for: the last state of each object in it.
func (f *Watcher) update(page keeper.Page) versioner.Update {
	f.revision = max(f.revision, page.Revision)
	last := make(map[string]int, len(page.Objects))
	for i, o := range page.Objects {
		j, ok := last[o.Key]
		if ok && !o.Deleted && !page.Objects[j].Deleted && page.Objects[j].Revision > o.Revision {
			continue
		}
		last[o.Key] = i
	}
	u := versioner.Update{Revision: f.revision, Objects: make([]keeper.Object, 0, len(last))}
	for i, o := range page.Objects {
		switch {
		case last[o.Key] != i:
		case o.Deleted:
			u.Removed = append(u.Removed, o.Key)
		default:
			u.Objects = append(u.Objects, o)
		}
	}
	return u
}
