package pooler

import (
	"slices"
	"time"

	"github.com/marigoldgauge/marigoldgauge/allocator"
	"github.com/marigoldgauge/marigoldgauge/limiter"
)

// account is the budget of one organisation at the owner of a pool.
type account struct {
	bucket  *limiter.Bucket
	spender *allocator.Consumer
	limit   limiter.Limit
	groups  []string
	arrived float64
	wanted  uint64
	since   time.Time
	refused uint64
	ran     uint64
}

// newAccount returns the account of an organisation in a pool that was taken over at ownedAt.
//
// What the earlier owner of the pool let through is not known, so the bucket
// starts empty, unless nobody owned the pool before.
func newAccount(now, ownedAt time.Time, group string, epoch uint64, limit limiter.Limit, groups []string) *account {
	a := &account{limit: limit, groups: groups, since: now}
	fraction := 1.0
	if len(groups) > 1 {
		bases := allocator.BaseFractions(len(groups))
		a.spender = allocator.NewConsumer(ownedAt, group, epoch, bases[max(slices.Index(groups, group), 0)])
		fraction = float64(a.spender.Usable(now)) / allocator.WholeRate
	}
	scaled := admitted(limit.Scale(fraction))
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

// admitted returns the limit at admission that keeps the limit at the endpoints:
// the burst is smaller by what the jitter could add, and the last of a full
// burst wait that long.
func admitted(l limiter.Limit) limiter.Limit {
	l.Burst = max(l.Burst-l.Rate*deliveryJitter.Seconds(), min(l.Burst, 1))
	return l
}

// refresh brings the bucket in line with the configuration and the fraction at hand.
func (a *account) refresh(now time.Time, limit limiter.Limit) {
	a.limit = limit
	scaled := limit
	if a.spender != nil {
		scaled = limit.Scale(float64(a.spender.Usable(now)) / allocator.WholeRate)
	}
	scaled = admitted(scaled)
	if scaled != a.bucket.Limit() {
		a.bucket.SetLimit(now, scaled)
	}
}

// demand returns the fraction of the rate that the arrivals since the last
// call could use beyond what is kept.
func (a *account) demand(now time.Time) uint64 {
	elapsed := now.Sub(a.since).Seconds()
	if elapsed <= 0 || a.limit.Rate <= 0 {
		return a.wanted
	}
	rate := a.arrived / elapsed
	a.arrived, a.since = 0, now
	fraction := uint64(min(rate/a.limit.Rate*demandHeadroom, 1) * allocator.WholeRate)
	a.wanted = max(fraction, a.wanted/2)
	return a.wanted - min(a.wanted, a.spender.Kept())
}

// demandHeadroom makes an organisation ask for somewhat more than it used.
const demandHeadroom = 1.25
