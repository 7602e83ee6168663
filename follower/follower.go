// Package follower keeps a copy of the objects under one prefix of the
// platform's store up to date, and knows how old the copy is.
package follower

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/marigoldgauge/marigoldgauge/clocker"
	"github.com/marigoldgauge/marigoldgauge/keeper"
)

const (
	// retryFirst is the pause after a failed call; it doubles up to retryMost,
	// within which a change must be noticed once the store is back.
	retryFirst = 100 * time.Millisecond
	retryMost  = 600 * time.Millisecond
	// gather is the pause after a change.
	gather = 150 * time.Millisecond
	// beginStep is how often it is looked whether to make the first call.
	beginStep = 50 * time.Millisecond
	// holdStep is how often it is looked whether the store is still left alone.
	holdStep = 500 * time.Millisecond
)

// Follower follows one prefix.
type Follower struct {
	// Store is the platform's store.
	Store Store
	// Prefix is what is followed.
	Prefix string
	// Wait returns how long one watch waits; a silent connection is noticed within it.
	Wait func() time.Duration
	// Clock tells the present time.
	Clock clocker.Clock
	// Apply takes the whole copy after each change, with the revision as of which
	// it was complete.
	Apply func(revision uint64, objects map[string]keeper.Object)
	// Most returns the longest pause between two calls while the store does not
	// answer; nil stands for retryMost. Those for whom it is longer let others
	// try first.
	Most func(now time.Time) time.Duration
	// Hold reports whether to leave the store alone for now; nil never does.
	Hold func(now time.Time) bool
	// Begin reports whether to make the first call; nil always does. Known reports
	// that what is followed is known from elsewhere, so that none may be needed.
	Begin func(now time.Time) bool
	Known func() bool
	// Reached is told of each call whether the store answered.
	Reached func(now time.Time, err error)

	objects  map[string]keeper.Object
	revision uint64
	held     bool
}

// Run follows the prefix until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	pause := retryFirst
	for ctx.Err() == nil {
		if f.holds() {
			f.held = true
			if !clocker.Sleep(ctx, holdStep) {
				return nil
			}
			continue
		}
		if f.objects == nil && !f.held && f.Begin != nil && !f.Begin(f.Clock.Now()) {
			if !clocker.Sleep(ctx, beginStep) {
				return nil
			}
			continue
		}
		most := f.most()
		if f.held {
			if most > retryMost && !clocker.Sleep(ctx, rand.N(most)) {
				return nil
			}
			if f.Hold(f.Clock.Now()) {
				continue
			}
			// The history may be gone; the list is complete.
			f.held, f.objects = false, nil
		}
		err := f.step(ctx)
		if ctx.Err() != nil {
			return nil
		}
		f.Reached(f.Clock.Now(), err)
		if err == nil {
			pause = retryFirst
			continue
		}
		if most > retryMost {
			pause = most
		}
		if !clocker.Sleep(ctx, pause/2+rand.N(pause)) {
			return nil
		}
		pause = min(2*pause, most)
	}
	return nil
}

// holds reports whether to leave the store alone.
func (f *Follower) holds() bool {
	known := f.objects != nil || (f.Known != nil && f.Known())
	return known && f.Hold != nil && f.Hold(f.Clock.Now())
}

// most returns the longest pause between two calls for now.
func (f *Follower) most() time.Duration {
	if f.Most == nil {
		return retryMost
	}
	return max(f.Most(f.Clock.Now()), retryMost)
}

// step makes one call and applies its answer.
func (f *Follower) step(ctx context.Context) error {
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
		// Changes often come in a row; one call then brings several.
		clocker.Sleep(ctx, gather)
	}
	return nil
}

// merge takes a page into the copy.
func (f *Follower) merge(page keeper.Page) {
	for _, o := range page.Objects {
		if o.Deleted {
			delete(f.objects, o.Key)
			continue
		}
		if have, ok := f.objects[o.Key]; ok && have.Revision > o.Revision {
			continue
		}
		f.objects[o.Key] = o
	}
	f.revision = max(f.revision, page.Revision)
}
