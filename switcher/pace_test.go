package switcher_test

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/marigoldgauge/marigoldgauge/switcher"
)

// requestTimes returns the times of n requests that are sent as early as possible.
func requestTimes(n int, rate float64) []time.Time {
	var out []time.Time
	for range n {
		out = append(out, switcher.NextPromotion(now, out, rate))
	}
	return out
}

// Guards against more requests in any second than the platform accepts, against a rate far
// below it, and against a delay where few primaries are lost.
func TestNextPromotion(t *testing.T) {
	tests := []struct {
		rate float64
		n    int
		// burst is the number of requests that are sent at once; last is when the last one is.
		burst int
		last  time.Duration
	}{
		{50, 16, 16, 0},
		{50, 150, 16, 3150 * time.Millisecond},
		{1000, 1000, 16, time.Second},
		{5, 10, 5, 1050 * time.Millisecond},
		{0.5, 3, 1, 4100 * time.Millisecond},
	}
	for _, tt := range tests {
		g := NewWithT(t)
		times := requestTimes(tt.n, tt.rate)
		count := 0
		for n, at := range times {
			if at.Equal(now) {
				count++
			}
			if limit := max(1, int(tt.rate)); n >= limit {
				g.Expect(at.Sub(times[n-limit]).Seconds()).To(BeNumerically(">=", float64(limit)/tt.rate), "request %d at rate %g", n, tt.rate)
			}
		}
		g.Expect(count).To(Equal(tt.burst), "rate %g", tt.rate)
		g.Expect(times[tt.n-1].Sub(now)).To(BeNumerically("<=", tt.last), "rate %g", tt.rate)
	}
}

// Guards against fewer concurrent replacements than the rate needs, and against more groups
// that are stopped while they wait for their promotion.
func TestMaxConcurrent(t *testing.T) {
	tests := []struct {
		name string
		rate float64
		took time.Duration
		want int
	}{
		{"the default rate", 50, 500 * time.Millisecond, 38},
		{"slow promotions", 50, 2 * time.Second, 150},
		{"fast promotions: as many as in a burst", 50, 50 * time.Millisecond, 16},
		{"a low rate", 2, 500 * time.Millisecond, 2},
		{"less than one request per second", 0.2, 500 * time.Millisecond, 1},
		{"the bound", 5000, time.Second, 256},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			NewWithT(t).Expect(switcher.MaxConcurrent(tt.rate, tt.took)).To(Equal(tt.want))
		})
	}
}

// Guards against groups with waiting callers that wait behind groups that nobody uses, and
// against the replacement of serving primaries before lost ones. Groups without a safe
// successor must not be tried again and again before all others.
func TestOrderCandidates(t *testing.T) {
	early, late := now.Add(-2*time.Second), now.Add(-time.Second)
	list := []switcher.Candidate{
		{Group: "leaving", Decision: switcher.Leaving},
		{Group: "unused", Decision: switcher.Lost, Reports: 1, Since: early},
		{Group: "used-b", Decision: switcher.Lost, Reports: 40, Since: late},
		{Group: "used-a", Decision: switcher.Lost, Reports: 40, Since: late},
		{Group: "used-early", Decision: switcher.Lost, Reports: 40, Since: early},
		{Group: "most-used", Decision: switcher.Lost, Reports: 90, Since: late},
		{Group: "failed-often", Decision: switcher.Lost, Reports: 95, Since: early, Failures: 3},
		{Group: "failed-once", Decision: switcher.Lost, Reports: 80, Since: late, Failures: 1},
		{Group: "stopped", Decision: switcher.Unfinished},
		{Group: "leaderless", Decision: switcher.Leaderless, Since: early},
	}
	switcher.OrderCandidates(list)
	var got []string
	for _, c := range list {
		got = append(got, c.Group)
	}
	NewWithT(t).Expect(got).To(Equal([]string{"stopped", "most-used", "failed-once", "used-early", "used-a", "used-b", "unused", "leaderless", "leaving", "failed-often"}))
}

// Guards against one read of the store for each of many primaries that are lost at once.
func TestNeedsStoreCheck(t *testing.T) {
	ago := func(d time.Duration) time.Time { return now.Add(-d) }
	tests := []struct {
		name                string
		unserved, lastCheck time.Time
		want                bool
	}{
		{"the primary serves", time.Time{}, time.Time{}, false},
		{"the first failure", ago(0), time.Time{}, true},
		{"checked since the failure", ago(2 * time.Second), ago(time.Second), false},
		{"checked just before the failure", ago(0), ago(100 * time.Millisecond), false},
		{"checked long before the failure", ago(100 * time.Millisecond), ago(time.Second), true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			NewWithT(t).Expect(switcher.NeedsStoreCheck(now, tt.unserved, tt.lastCheck)).To(Equal(tt.want))
		})
	}
}

// A platform that refuses requests because of their rate, for longer than the grant of the
// lease, delays the promotion; it does not fail the replacement. The replicas are paused again
// before a promotion under the extended grant, since one may have restarted and received
// commits in the meantime.
func TestRateLimitedPromotion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := NewWithT(t)
		g := &group{rateLimitedFor: 5 * time.Second}
		s, failed := failWith(t, g, 8*time.Second)
		accepted, refused := s.Promotions()
		w.Expect(accepted).To(Equal(uint64(1)))
		w.Expect(refused).To(BeZero())
		w.Expect(g.pauses).To(Equal(4))
		w.Expect(g.decisions["replacement-begun"]).To(Equal(1))
		w.Expect(g.decisions["replacement-failed"]).To(BeZero())
		w.Expect(g.promoted.Sub(failed)).To(BeNumerically("<=", 6*time.Second))
		w.Expect(g.requests).To(BeNumerically("<=", 30))
	})
}
