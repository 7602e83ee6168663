package pooler

import (
	"slices"
	"time"

	"github.com/marigoldgauge/marigoldgauge/allocator"
	"github.com/marigoldgauge/marigoldgauge/limiter"
)

// rateBudget holds the rate budget of one organisation at the pool owner.
type rateBudget struct {
	bucket      *limiter.Bucket
	consumer    *allocator.Consumer
	limit       limiter.Limit
	groups      []string
	arrivals    float64
	lastDemand  uint64
	demandSince time.Time
	refused     uint64
	admitted    uint64
}

// newRateBudget returns the rate budget of an organisation in a pool that was
// taken over at ownedAt.
//
// How many requests the previous owner admitted is unknown, so the bucket starts
// empty, unless the pool had no previous owner (epoch 1).
func newRateBudget(now, ownedAt time.Time, group string, epoch uint64, limit limiter.Limit, groups []string) *rateBudget {
	b := &rateBudget{limit: limit, groups: groups, demandSince: now}
	fraction := 1.0
	if len(groups) > 1 {
		bases := allocator.BaseFractions(len(groups))
		b.consumer = allocator.NewConsumer(ownedAt, group, epoch, bases[max(slices.Index(groups, group), 0)])
		fraction = float64(b.consumer.Usable(now)) / allocator.WholeRate
	}
	scaled := admissionLimit(limit.Scale(fraction))
	tokens := min(scaled.Burst, scaled.Rate*now.Sub(ownedAt).Seconds())
	if epoch == 1 {
		tokens = scaled.Burst
	}
	b.bucket = limiter.NewBucket(now, scaled, tokens)
	return b
}

// deliveryJitter bounds how much closer together two admitted requests may reach
// an endpoint than they were admitted.
const deliveryJitter = 50 * time.Millisecond

// admissionLimit returns the limit to apply at admission so that the endpoints
// see at most l. The burst is reduced by what the jitter could add, so the last
// requests of a full burst wait for as long as the jitter.
func admissionLimit(l limiter.Limit) limiter.Limit {
	l.Burst = max(l.Burst-l.Rate*deliveryJitter.Seconds(), min(l.Burst, 1))
	return l
}

// update applies the configured limit and the current fraction to the bucket.
func (b *rateBudget) update(now time.Time, limit limiter.Limit) {
	b.limit = limit
	scaled := limit
	if b.consumer != nil {
		scaled = limit.Scale(float64(b.consumer.Usable(now)) / allocator.WholeRate)
	}
	scaled = admissionLimit(scaled)
	if scaled != b.bucket.Limit() {
		b.bucket.SetLimit(now, scaled)
	}
}

// demand returns the fraction of the rate that the organisation could use beyond
// the fraction that it keeps, estimated from the arrivals since the last call.
func (b *rateBudget) demand(now time.Time) uint64 {
	elapsed := now.Sub(b.demandSince).Seconds()
	if elapsed <= 0 || b.limit.Rate <= 0 {
		return b.lastDemand
	}
	rate := b.arrivals / elapsed
	b.arrivals, b.demandSince = 0, now
	fraction := uint64(min(rate/b.limit.Rate*demandHeadroom, 1) * allocator.WholeRate)
	b.lastDemand = max(fraction, b.lastDemand/2)
	return b.lastDemand - min(b.lastDemand, b.consumer.Kept())
}

// demandHeadroom is the factor by which the requested fraction exceeds the used one.
const demandHeadroom = 1.25
