// Package retrier bounds repetitions, so that a failure does not multiply the load.
package retrier

import (
	"sync"
	"time"

	"github.com/marigoldgauge/marigoldgauge/limiter"
)

// repetitions is what one organisation may repeat on one VM.
var repetitions = limiter.Limit{Rate: 50, Burst: 200}

// forgetAfter is the number of organisations after which idle budgets are dropped.
const forgetAfter = 4096

// Budgets hold the repetitions of each organisation within a budget.
//
// Budgets are safe for concurrent use.
type Budgets struct {
	mu      sync.Mutex
	buckets map[string]*limiter.Bucket
}

// NewBudgets returns full budgets.
func NewBudgets() *Budgets {
	return &Budgets{buckets: map[string]*limiter.Bucket{}}
}

// Take takes one repetition and reports whether it was left.
func (b *Budgets) Take(now time.Time, organisation string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	bucket := b.buckets[organisation]
	if bucket == nil {
		b.forget(now)
		bucket = limiter.NewBucket(now, repetitions, repetitions.Burst)
		b.buckets[organisation] = bucket
	}
	_, ok := bucket.Reserve(now, 0)
	return ok
}

// forget drops full budgets once there are many. The lock is held.
func (b *Budgets) forget(now time.Time) {
	if len(b.buckets) < forgetAfter {
		return
	}
	for name, bucket := range b.buckets {
		if bucket.Tokens(now) >= repetitions.Burst {
			delete(b.buckets, name)
		}
	}
}
