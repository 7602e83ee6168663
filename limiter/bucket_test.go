package limiter_test

import (
	"flag"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/marigoldgauge/marigoldgauge/limiter"
)

func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// start is the simulated time at which every test starts.
var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Invariant: over any window, at most rate times window plus burst requests start.
func TestNoWindowExceedsRateAndBurst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		limit := limiter.Limit{Rate: float64(rapid.IntRange(1, 200).Draw(t, "rate")), Burst: float64(rapid.IntRange(1, 100).Draw(t, "burst"))}
		wait := time.Duration(rapid.IntRange(0, 200).Draw(t, "wait")) * time.Millisecond
		b := limiter.NewBucket(start, limit, limit.Burst)
		now := start
		var starts []time.Time
		for _, gap := range rapid.SliceOfN(rapid.IntRange(0, 50), 1, 400).Draw(t, "gaps") {
			now = now.Add(time.Duration(gap) * time.Millisecond)
			if delay, ok := b.Reserve(now, wait); ok {
				starts = append(starts, now.Add(delay))
			}
		}
		for i := range starts {
			for j := i; j < len(starts); j++ {
				allowed := limit.Rate*starts[j].Sub(starts[i]).Seconds() + limit.Burst
				g.Expect(float64(j-i+1)).To(BeNumerically("<=", allowed+1e-3), "requests %d to %d", i, j)
			}
		}
	})
}

func TestLowerLimitDropsTokens(t *testing.T) {
	g := NewWithT(t)
	b := limiter.NewBucket(start, limiter.Limit{Rate: 100, Burst: 100}, 100)
	b.SetLimit(start, limiter.Limit{Rate: 1, Burst: 2})
	g.Expect(b.Tokens(start)).To(Equal(2.0))
	b.SetLimit(start, limiter.Limit{Rate: 100, Burst: 100})
	g.Expect(b.Tokens(start)).To(Equal(2.0))
}

func TestRejectedReserveReturnsRetryDelay(t *testing.T) {
	g := NewWithT(t)
	b := limiter.NewBucket(start, limiter.Limit{Rate: 10, Burst: 1}, 1)
	_, ok := b.Reserve(start, 0)
	g.Expect(ok).To(BeTrue())
	wait, ok := b.Reserve(start, 0)
	g.Expect(ok).To(BeFalse())
	g.Expect(wait).To(Equal(100 * time.Millisecond))
	_, ok = b.Reserve(start.Add(wait), 0)
	g.Expect(ok).To(BeTrue())
}

func BenchmarkReserve(b *testing.B) {
	bucket := limiter.NewBucket(start, limiter.Limit{Rate: 1000, Burst: 1000}, 1000)
	b.ReportAllocs()
	for n := range b.N {
		bucket.Reserve(start.Add(time.Duration(n)*time.Microsecond), 0)
	}
}
