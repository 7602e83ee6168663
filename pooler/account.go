package pooler

import (
	"slices"
	"time"

	"github.com/marigoldgauge/marigoldgauge/allotter"
	"github.com/marigoldgauge/marigoldgauge/limiter"
)

// rateBudget is the budget of one organisation at the owner of a pool.
type rateBudget struct {
	bucket      *limiter.Bucket
	consumer    *allotter.Spender
	limit       limiter.Limit
	groups      []string
	arrivals    float64
	lastDemand  uint64
	demandSince time.Time
	refused     uint64
	admitted    uint64
}

// newRateBudget returns the account of an organisation in a pool that was taken over at ownedAt.
//
// What the earlier owner of the pool let through is not known, so the bucket
// starts empty, unless nobody owned the pool before.
func newRateBudget(now, ownedAt time.Time, group string, epoch uint64, limit limiter.Limit, groups []string) *rateBudget {
	a := &rateBudget{limit: limit, groups: groups, demandSince: now}
	fraction := 1.0
	if len(groups) > 1 {
		bases := allotter.Bases(len(groups))
		a.consumer = allotter.NewSpender(ownedAt, group, epoch, bases[max(slices.Index(groups, group), 0)])
		fraction = float64(a.consumer.Usable(now)) / allotter.Whole
	}
	scaled := admissionLimit(limit.Scale(fraction))
	tokens := min(scaled.Burst, scaled.Rate*now.Sub(ownedAt).Seconds())
	if epoch == 1 {
		tokens = scaled.Burst
	}
	a.bucket = limiter.NewBucket(now, scaled, tokens)
	return a
}

// deliveryJitter is the difference in time by which two admitted requests may
// come closer together before they reach an endpoint.
const deliveryJitter = 50 * time.Millisecond

// admissionLimit returns the limit at admission that keeps the limit at the endpoints:
// the burst is smaller by what the jitter could add, and the last of a full
// burst wait that long.
func admissionLimit(l limiter.Limit) limiter.Limit {
	l.Burst = max(l.Burst-l.Rate*deliveryJitter.Seconds(), min(l.Burst, 1))
	return l
}

// update brings the bucket in line with the configuration and the fraction at hand.
func (a *rateBudget) update(now time.Time, limit limiter.Limit) {
	a.limit = limit
	scaled := limit
	if a.consumer != nil {
		scaled = limit.Scale(float64(a.consumer.Usable(now)) / allotter.Whole)
	}
	scaled = admissionLimit(scaled)
	if scaled != a.bucket.Limit() {
		a.bucket.Set(now, scaled)
	}
}

// demand returns the fraction of the rate that the arrivals since the last
// call could use beyond what is kept.
func (a *rateBudget) demand(now time.Time) uint64 {
	elapsed := now.Sub(a.demandSince).Seconds()
	if elapsed <= 0 || a.limit.Rate <= 0 {
		return a.lastDemand
	}
	rate := a.arrivals / elapsed
	a.arrivals, a.demandSince = 0, now
	fraction := uint64(min(rate/a.limit.Rate*demandHeadroom, 1) * allotter.Whole)
	a.lastDemand = max(fraction, a.lastDemand/2)
	return a.lastDemand - min(a.lastDemand, a.consumer.Kept())
}

// demandHeadroom makes an organisation ask for somewhat more than it used.
const demandHeadroom = 1.25
