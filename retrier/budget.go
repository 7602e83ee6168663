// Package retrier limits retries by a budget, so that a failure does not multiply
// the load.
package retrier

import (
	"sync"
	"time"

	"github.com/marigoldgauge/marigoldgauge/limiter"
)

// retryLimit is the rate and burst of retries of one organisation on one VM.
var retryLimit = limiter.Limit{Rate: 50, Burst: 200}

// maxBuckets is the number of budgets from which full ones are dropped.
const maxBuckets = 4096

// Budgets limits the retries of each organisation to its retry budget.
//
// Budgets is safe for concurrent use.
type Budgets struct {
	mu      sync.Mutex
	buckets map[string]*limiter.Bucket
}

// NewBudgets returns Budgets in which every organisation has its full budget.
func NewBudgets() *Budgets {
	return &Budgets{buckets: map[string]*limiter.Bucket{}}
}

// Spend takes one retry from the budget of an organisation and reports whether one
// was left.
func (b *Budgets) Spend(now time.Time, organisation string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	bucket := b.buckets[organisation]
	if bucket == nil {
		b.dropFull(now)
		bucket = limiter.NewBucket(now, retryLimit, retryLimit.Burst)
		b.buckets[organisation] = bucket
	}
	_, ok := bucket.Reserve(now, 0)
	return ok
}

// dropFull drops full budgets once there are many. The caller holds the lock.
func (b *Budgets) dropFull(now time.Time) {
	if len(b.buckets) < maxBuckets {
		return
	}
	for name, bucket := range b.buckets {
		if bucket.Tokens(now) >= retryLimit.Burst {
			delete(b.buckets, name)
		}
	}
}
