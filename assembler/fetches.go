package assembler

import (
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// fetchLate is how long one VM is waited for before another one is asked as
	// well: a packed configuration of many routes takes as long on a slow link. The
	// first may just have been cut off.
	fetchLate = 800 * time.Millisecond
	// fetchesAtOnce is the number of VMs that are asked for the same at a time.
	fetchesAtOnce = 2
)

// fetches are the fetches from other VMs that are under way.
type fetches struct {
	group errgroup.Group

	mu    sync.Mutex
	since map[source]time.Time
}

// source is what is fetched from a VM.
type source struct {
	path, vm string
}

// may reports whether to fetch from a source that was last heard at a time: those
// that are asked for the same are late and not too many, and it was heard since.
// A VM that was not may be cut off like them.
func (f *fetches) may(now, heard time.Time, s source) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	asked := 0
	for o, since := range f.since {
		if o.path != s.path {
			continue
		}
		if o.vm == s.vm || now.Sub(since) < fetchLate || !heard.After(since) {
			return false
		}
		asked++
	}
	return asked < fetchesAtOnce
}

// start fetches from a source in the background.
func (f *fetches) start(now time.Time, s source, fetch func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.since == nil {
		f.since = map[source]time.Time{}
	}
	f.since[s] = now
	f.group.Go(func() error {
		fetch()
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.since, s)
		return nil
	})
}
