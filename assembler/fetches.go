package assembler

import (
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// slowFetchThreshold is the time without progress after which a pending fetch is
	// repeated from a second VM. The first VM may just have been partitioned off.
	slowFetchThreshold = 800 * time.Millisecond
	// maxConcurrentFetches bounds the concurrent fetches of one path.
	maxConcurrentFetches = 2
)

// pendingFetches tracks the pending fetches from other VMs.
type pendingFetches struct {
	group errgroup.Group

	mu sync.Mutex
	// progressAt holds the time of the last progress, or of the start, by source.
	progressAt map[fetchSource]time.Time
}

// fetchSource is a path on a VM from which it is fetched.
type fetchSource struct {
	path, vm string
}

// mayStart reports whether to start a fetch from a source whose VM was last heard at a
// time: all pending fetches of the same path make no progress and are fewer than
// maxConcurrentFetches, and the VM was heard since their last progress. A VM that was not heard
// since may be partitioned off like theirs.
func (f *pendingFetches) mayStart(now, heard time.Time, s fetchSource) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	asked := 0
	for o, since := range f.progressAt {
		if o.path != s.path {
			continue
		}
		if o.vm == s.vm || now.Sub(since) < slowFetchThreshold || !heard.After(since) {
			return false
		}
		asked++
	}
	return asked < maxConcurrentFetches
}

// start runs a fetch from a source in the background. The fetch calls progress with the
// present time whenever a part arrives.
func (f *pendingFetches) start(now time.Time, s fetchSource, fetch func(progress func(now time.Time))) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.progressAt == nil {
		f.progressAt = map[fetchSource]time.Time{}
	}
	f.progressAt[s] = now
	f.group.Go(func() error {
		fetch(func(now time.Time) { f.recordProgress(now, s) })
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.progressAt, s)
		return nil
	})
}

// recordProgress records that a part of a pending fetch has arrived.
func (f *pendingFetches) recordProgress(now time.Time, s fetchSource) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.progressAt[s] = now
}
