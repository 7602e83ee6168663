// Package watcher watches one prefix of the platform's store and keeps a local
// copy of its objects up to date, with the revision of the copy.
package watcher

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/marigoldgauge/marigoldgauge/keeper"
	"github.com/marigoldgauge/marigoldgauge/timekeeper"
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
	// holdInterval is the interval at which Suspend is polled.
	holdInterval = 500 * time.Millisecond
)

// Watcher keeps a copy of the objects under one prefix.
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
	// Apply receives the whole copy after each successful call, with the revision
	// as of which it is complete.
	Apply func(revision uint64, objects map[string]keeper.Object)
	// MaxBackoff returns the maximum backoff while the store does not respond. Nil stands
	// for maxBackoff. VMs with a longer maximum let other VMs retry first.
	MaxBackoff func(now time.Time) time.Duration
	// Suspend reports whether to suspend calls to the store. Nil never suspends them.
	Suspend func(now time.Time) bool
	// ShouldStart reports whether to make the first call. Nil always allows it. KnownElsewhere
	// reports that the objects are known from another source, so that Suspend may
	// suspend calls before the first one.
	ShouldStart    func(now time.Time) bool
	KnownElsewhere func() bool
	// OnStoreCall receives the error of each call, nil if the store responded.
	OnStoreCall func(now time.Time, err error)

	objects   map[string]keeper.Object
	revision  uint64
	suspended bool
}

// Run watches the prefix until ctx ends.
func (f *Watcher) Run(ctx context.Context) error {
	backoff := initialBackoff
	for ctx.Err() == nil {
		if f.shouldSuspend() {
			f.suspended = true
			if !timekeeper.Sleep(ctx, holdInterval) {
				return nil
			}
			continue
		}
		if f.objects == nil && !f.suspended && f.ShouldStart != nil && !f.ShouldStart(f.Clock.Now()) {
			if !timekeeper.Sleep(ctx, beginInterval) {
				return nil
			}
			continue
		}
		limit := f.backoffLimit()
		if f.suspended {
			if limit > maxBackoff && !timekeeper.Sleep(ctx, rand.N(limit)) {
				return nil
			}
			if f.Suspend(f.Clock.Now()) {
				continue
			}
			// The store may have discarded the history since then, so the next call
			// lists all objects.
			f.suspended, f.objects = false, nil
		}
		err := f.step(ctx)
		if ctx.Err() != nil {
			return nil
		}
		f.OnStoreCall(f.Clock.Now(), err)
		if err == nil {
			backoff = initialBackoff
			continue
		}
		if limit > maxBackoff {
			backoff = limit
		}
		if !timekeeper.Sleep(ctx, backoff/2+rand.N(backoff)) {
			return nil
		}
		backoff = min(2*backoff, limit)
	}
	return nil
}

// shouldSuspend reports whether to suspend calls to the store.
func (f *Watcher) shouldSuspend() bool {
	known := f.objects != nil || (f.KnownElsewhere != nil && f.KnownElsewhere())
	return known && f.Suspend != nil && f.Suspend(f.Clock.Now())
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
	if f.objects == nil {
		page, err := f.Store.List(ctx, f.Prefix)
		if err != nil {
			return err
		}
		f.objects = map[string]keeper.Object{}
		f.merge(page)
		f.Apply(f.revision, f.objects)
		return nil
	}
	page, err := f.Store.Watch(ctx, f.Prefix, f.revision, f.Wait())
	if err != nil {
		return err
	}
	if page.TooOld {
		f.objects = nil
		return nil
	}
	f.merge(page)
	f.Apply(f.revision, f.objects)
	if len(page.Objects) > 0 {
		// Changes often come in bursts, so that the next call returns several at once.
		timekeeper.Sleep(ctx, batchDelay)
	}
	return nil
}

// merge merges a page into the copy.
func (f *Watcher) merge(page keeper.Page) {
	for _, o := range page.Objects {
		if o.Deleted {
			delete(f.objects, o.Key)
			continue
		}
		if current, ok := f.objects[o.Key]; ok && current.Revision > o.Revision {
			continue
		}
		f.objects[o.Key] = o
	}
	f.revision = max(f.revision, page.Revision)
}
