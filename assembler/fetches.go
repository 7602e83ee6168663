package assembler

import (
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// slowFetchThreshold is the time after which a pending fetch is repeated from a second
	// VM: a compressed configuration of many routes takes as long on a slow link.
	// The first VM may just have been partitioned off.
	slowFetchThreshold = 800 * time.Millisecond
	// maxConcurrentFetches bounds the concurrent fetches of one path.
	maxConcurrentFetches = 2
)

// pendingFetches tracks the pending fetches from other VMs.
type pendingFetches struct {
	group errgroup.Group

	mu        sync.Mutex
	startedAt map[fetchSource]time.Time
}

// fetchSource is a path on a VM from which it is fetched.
type fetchSource struct {
	path, vm string
}

// mayStart reports whether to start a fetch from a source whose VM was last heard at a
// time: all pending fetches of the same path are slow and fewer than
// maxConcurrentFetches, and the VM was heard since they started. A VM that was not heard
// since may be partitioned off like theirs.
func (f *pendingFetches) mayStart(now, heard time.Time, s fetchSource) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	asked := 0
	for o, since := range f.startedAt {
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

// start runs a fetch from a source in the background.
func (f *pendingFetches) start(now time.Time, s fetchSource, fetch func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.startedAt == nil {
		f.startedAt = map[fetchSource]time.Time{}
	}
	f.startedAt[s] = now
	f.group.Go(func() error {
		fetch()
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.startedAt, s)
		return nil
	})
}
