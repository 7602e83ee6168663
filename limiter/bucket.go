// Package limiter implements the token bucket that limits an organisation's rate and burst.
package limiter

import "time"

// Limit is a request rate and a burst size.
type Limit struct {
	// Rate is the number of requests per second.
	Rate float64
	// Burst is the number of requests that may be admitted at once.
	Burst float64
}

// Scale returns the limit multiplied by fraction.
func (l Limit) Scale(fraction float64) Limit {
	return Limit{Rate: l.Rate * fraction, Burst: l.Burst * fraction}
}

// Bucket is a token bucket that can reserve a token before it is available.
//
// Over any window, it admits at most rate times window plus burst requests.
// A Bucket is not safe for concurrent use.
type Bucket struct {
	limit      Limit
	tokens     float64
	refilledAt time.Time
}

// NewBucket returns a Bucket that holds the given tokens at now, at most the burst.
func NewBucket(now time.Time, limit Limit, tokens float64) *Bucket {
	return &Bucket{limit: limit, tokens: min(tokens, limit.Burst), refilledAt: now}
}

// SetLimit changes the limit. Tokens above the new burst are dropped; none are added.
func (b *Bucket) SetLimit(now time.Time, limit Limit) {
	b.refill(now)
	b.limit = limit
	b.tokens = min(b.tokens, limit.Burst)
}

// Limit returns the current limit.
func (b *Bucket) Limit() Limit {
	return b.limit
}

// Tokens returns the number of requests that could be admitted at once.
func (b *Bucket) Tokens(now time.Time) float64 {
	b.refill(now)
	return b.tokens
}

// Reserve takes one token and returns the time until it is available.
//
// If that time exceeds maxWait, no token is taken, ok is false and wait is the
// delay before a retry.
func (b *Bucket) Reserve(now time.Time, maxWait time.Duration) (wait time.Duration, ok bool) {
	b.refill(now)
	if b.tokens >= 1 {
		b.tokens--
		return 0, true
	}
	if b.limit.Rate <= 0 {
		return time.Second, false
	}
	wait = time.Duration((1 - b.tokens) / b.limit.Rate * float64(time.Second))
	if wait > maxWait {
		return wait, false
	}
	b.tokens--
	return wait, true
}

// ReturnToken returns the token of a request that did not run.
func (b *Bucket) ReturnToken(now time.Time) {
	b.refill(now)
	b.tokens = min(b.tokens+1, b.limit.Burst)
}

// refill adds the tokens that accrued since the last refill.
func (b *Bucket) refill(now time.Time) {
	elapsed := now.Sub(b.refilledAt).Seconds()
	if elapsed <= 0 {
		return
	}
	b.refilledAt = now
	b.tokens = min(b.tokens+elapsed*b.limit.Rate, b.limit.Burst)
}
