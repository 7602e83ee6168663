package switcher

import (
	"context"
	"math"
	"time"

	"github.com/rotisserie/eris"

	"github.com/marigoldgauge/marigoldgauge/timekeeper"
)

// ErrRateLimited means that the platform refused a promotion because of its request rate. The
// request had no effect.
var ErrRateLimited = eris.New("the platform's rate of promotion requests is exceeded")

const (
	// promotionBurst is the number of promotion requests that may be sent at once. A small
	// deployment rarely loses more primaries at a time.
	promotionBurst = 16
	// arrivalMargin is added to the period to which the rate is applied, since requests may
	// arrive closer together than they were sent: the first ones wait for a connection.
	arrivalMargin = 50 * time.Millisecond
	// rateLimitedDelay is the delay of all promotion requests after the platform refused one
	// because of its rate.
	rateLimitedDelay = 200 * time.Millisecond
	// initialReplacementTime is the duration of a replacement, until its successor leads, that
	// is assumed before one was measured.
	initialReplacementTime = 500 * time.Millisecond
	// replacementTimeWeight is the weight of a new measurement in the mean duration.
	replacementTimeWeight = 0.1
	// concurrencyMargin is the factor by which more replacements run than the rate and their
	// mean duration need, since the durations differ.
	concurrencyMargin = 1.5
	// maxReplacements bounds the concurrent replacements, as each uses several connections.
	maxReplacements = 256
)

// NextPromotion returns the earliest time of the next promotion request, given the times of
// the earlier ones in ascending order, some of which may lie ahead. Requests are sent in
// bursts of up to promotionBurst, and no period of a second has more of them than the rate
// per second allows.
func NextPromotion(now time.Time, requests []time.Time, rate float64) time.Time {
	next := now
	after := func(count int, margin time.Duration) {
		if n := len(requests) - count; n >= 0 {
			span := time.Duration(math.Ceil(float64(count) / rate * float64(time.Second)))
			next = timekeeper.Later(next, requests[n].Add(span+margin))
		}
	}
	after(requestsPerWindow(rate), arrivalMargin)
	after(min(promotionBurst, requestsPerWindow(rate)), 0)
	if n := len(requests); n > 0 {
		next = timekeeper.Later(next, requests[n-1])
	}
	return next
}

// requestsPerWindow returns the number of requests to which the rate is applied: those of one
// second, or one request where the rate is lower.
func requestsPerWindow(rate float64) int { return int(max(1, min(rate, math.MaxInt32))) }

// MaxConcurrent returns how many replacements may run at a time so that promotions, each of
// which ends a replacement of a mean duration, are requested at the rate per second. More
// would only wait with their groups stopped.
func MaxConcurrent(rate float64, took time.Duration) int {
	needed := math.Ceil(rate * took.Seconds() * concurrencyMargin)
	least := min(promotionBurst, requestsPerWindow(rate))
	return int(min(maxReplacements, max(needed, float64(least))))
}

// promotionPace is the state of the pacing of promotion requests. Switcher.mu guards it.
type promotionPace struct {
	// requests holds the times of the last requests in ascending order.
	requests []time.Time
	// notBefore is the earliest time of the next request after the platform refused one.
	notBefore time.Time
	// took is the mean duration of a replacement until its successor leads, without the time
	// that it waited for its request; zero before the first one.
	took time.Duration
}

// reserve returns the time at which the next request may be sent.
func (p *promotionPace) reserve(now time.Time, rate float64) time.Time {
	at := NextPromotion(timekeeper.Later(now, p.notBefore), p.requests, rate)
	if keep := requestsPerWindow(rate); len(p.requests) >= keep {
		p.requests = append(p.requests[:0], p.requests[len(p.requests)-keep+1:]...)
	}
	p.requests = append(p.requests, at)
	return at
}

// meanDuration returns the mean duration of a replacement.
func (p *promotionPace) meanDuration() time.Duration {
	if p.took == 0 {
		return initialReplacementTime
	}
	return p.took
}

// addDuration adds the duration of a replacement to the mean.
func (p *promotionPace) addDuration(took time.Duration) {
	mean := p.meanDuration()
	p.took = mean + time.Duration(replacementTimeWeight*float64(took-mean))
}

// awaitPromotion waits until the next promotion request may be sent, and returns how long
// that took.
func (s *Switcher) awaitPromotion(ctx context.Context) time.Duration {
	s.mu.Lock()
	now := s.Clock.Now()
	at := s.pace.reserve(now, s.PromotionRate)
	s.mu.Unlock()
	timekeeper.Sleep(ctx, at.Sub(now))
	return s.Clock.Now().Sub(now)
}

// delayPromotions delays the next promotion requests after the platform refused one because
// of its rate.
func (s *Switcher) delayPromotions() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pace.notBefore = s.Clock.Now().Add(rateLimitedDelay)
}
