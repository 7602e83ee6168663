// Package limiter holds an organisation to its rate and burst.
package limiter

import "time"

// Limit is a rate with its burst.
type Limit struct {
	// Rate is the number of requests a second.
	Rate float64
	// Burst is the number of requests that may come at once.
	Burst float64
}

// Scale returns the limit times a fraction.
func (l Limit) Scale(fraction float64) Limit {
	return Limit{Rate: l.Rate * fraction, Burst: l.Burst * fraction}
}

// Bucket is a token bucket that also plans a short wait.
//
// Over any window it admits at most rate times window plus burst requests.
// A Bucket is not safe for concurrent use.
type Bucket struct {
	limit  Limit
	tokens float64
	last   time.Time
}

// NewBucket returns a Bucket that holds tokens requests at now.
func NewBucket(now time.Time, limit Limit, tokens float64) *Bucket {
	return &Bucket{limit: limit, tokens: min(tokens, limit.Burst), last: now}
}

// Set changes the limit. Tokens above the new burst are lost; none are gained.
func (b *Bucket) Set(now time.Time, limit Limit) {
	b.fill(now)
	b.limit = limit
	b.tokens = min(b.tokens, limit.Burst)
}

// Limit returns the limit in force.
func (b *Bucket) Limit() Limit {
	return b.limit
}

// Tokens returns the requests that could be admitted at once.
func (b *Bucket) Tokens(now time.Time) float64 {
	b.fill(now)
	return b.tokens
}

// Reserve takes one token and returns the time to wait until it exists.
//
// When the wait would exceed maxWait no token is taken, ok is false and the
// wait tells when to come back.
func (b *Bucket) Reserve(now time.Time, maxWait time.Duration) (wait time.Duration, ok bool) {
	b.fill(now)
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

// Return gives back the token of a request that did not run.
func (b *Bucket) Return(now time.Time) {
	b.fill(now)
	b.tokens = min(b.tokens+1, b.limit.Burst)
}

// fill adds the tokens that have accrued.
func (b *Bucket) fill(now time.Time) {
	elapsed := now.Sub(b.last).Seconds()
	if elapsed <= 0 {
		return
	}
	b.last = now
	b.tokens = min(b.tokens+elapsed*b.limit.Rate, b.limit.Burst)
}
