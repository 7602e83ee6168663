// Package throttler limits each organisation to its rate and burst over the whole
// fleet, without a remote call for each request.
//
// A fraction of each rate is split: every VM reports the demand of each
// organisation to the others, and its share is its proportion of the total
// demand. A silent VM keeps the share that it was last known to have until it is
// known to be gone. The rest of the rate is held by one VM of each region, the
// lenders, and lent token by token to VMs that have none left, so that the rate
// of a small organisation is not spread over buckets of one token. A lender that
// hears only some of the VMs lends in proportion to their number, so lenders that
// do not hear each other never lend more than that fraction in total.
package throttler

import (
	"sync"
	"time"

	"github.com/marigoldgauge/marigoldgauge/limiter"
)

const (
	// demandWindow is the time over which demand is averaged: long enough for small
	// organisations, but short compared to the window over which rates are counted.
	demandWindow = 2 * time.Second
	// lentFraction is the fraction of a rate that is lent: small enough for the split
	// fraction to suffice while the lenders are silent.
	lentFraction = 0.6
	// evenFraction is the fraction of the split rate that is shared evenly regardless
	// of demand, so that the first requests at another VM need not wait until the
	// demand is exchanged.
	evenFraction = 0.15
	// initialBurstFraction is the fraction of its burst with which a process starts:
	// other processes may have used the burst just before.
	initialBurstFraction = 0.5
	// AssumedSilentVMs is the number of other VMs that are assumed to exist and to be
	// silent until the fleet is known.
	AssumedSilentVMs = 31
)

// Throttler admits operations within the rates. It is safe for concurrent use.
type Throttler struct {
	mu              sync.Mutex
	organisations   map[string]*organisationState
	reported        map[string]float64
	peers           []Peer
	silentVMs       int
	lendingFraction func(organisation string) float64
	heardFraction   float64
	largeFleet      bool
}

// organisationState is the rate limiting state of one organisation.
type organisationState struct {
	total      limiter.Limit
	split      *limiter.Bucket
	lent       *limiter.Bucket
	share      float64
	demand     float64
	measuredAt time.Time
	requested  int
	// admitted and refused count operations for the metrics.
	admitted, refused uint64
}

// New returns a Throttler without organisations.
func New() *Throttler {
	return &Throttler{organisations: map[string]*organisationState{}, reported: map[string]float64{}, silentVMs: AssumedSilentVMs}
}

// SetLimits replaces the limits of all organisations.
func (s *Throttler) SetLimits(now time.Time, limits map[string]limiter.Limit) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, l := range limits {
		o := s.organisations[name]
		if o == nil {
			o = &organisationState{measuredAt: now}
			s.organisations[name] = o
		}
		o.total = l
	}
	for name := range s.organisations {
		if _, ok := limits[name]; !ok {
			delete(s.organisations, name)
		}
	}
	s.divide(now)
}

// SetPeers updates the demand reported by the other VMs and recomputes the
// shares. Each silent VM is left an even share, which it may be using. The
// fraction of all VMs that was heard recently, heardFraction, bounds what this VM
// lends. lendingFraction returns this VM's fraction of what is lent of a rate: 0
// unless it is a lender.
//
// In a large fleet, a rate is lent as a whole: an even split of a small rate among
// hundreds of VMs would be too small to serve any of them.
func (s *Throttler) SetPeers(now time.Time, peers []Peer, silent int, heardFraction float64, largeFleet bool, lendingFraction func(organisation string) float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peers, s.silentVMs, s.heardFraction, s.largeFleet, s.lendingFraction = peers, silent, heardFraction, largeFleet, lendingFraction
	s.divide(now)
}

// divide recomputes this VM's share of each rate. The caller holds the lock.
func (s *Throttler) divide(now time.Time) {
	heard := float64(len(s.peers) + 1)
	heardPart := heard / (heard + float64(s.silentVMs))
	for name, o := range s.organisations {
		totalDemand := s.reported[name]
		if s.largeFleet {
			totalDemand = 0
		}
		for _, p := range s.peers {
			if !s.largeFleet {
				totalDemand += p.Demand[name]
			}
		}
		o.share = heardPart / heard
		if totalDemand > 0 {
			o.share = heardPart * (evenFraction/heard + (1-evenFraction)*s.reported[name]/totalDemand)
		}
		s.setLent(now, name, o)
		limit := o.total.Scale((1 - s.lentFractionInForce()) * o.share)
		if !s.largeFleet {
			limit.Burst = max(limit.Burst, 1)
		}
		if o.split == nil {
			o.split = limiter.NewBucket(now, limit, max(1, limit.Burst*initialBurstFraction))
			continue
		}
		o.split.SetLimit(now, limit)
	}
}

// lentFractionInForce returns the fraction of each rate that is lent. The caller
// holds the lock.
func (s *Throttler) lentFractionInForce() float64 {
	if s.largeFleet {
		return 1
	}
	return lentFraction
}

// setLent updates the limit that this VM lends of one rate. The caller holds the lock.
func (s *Throttler) setLent(now time.Time, name string, o *organisationState) {
	fraction := 0.0
	if s.lendingFraction != nil {
		fraction = s.lendingFraction(name)
	}
	if fraction <= 0 {
		o.lent = nil
		return
	}
	limit := o.total.Scale(s.lentFractionInForce() * s.heardFraction * fraction)
	limit.Burst = max(limit.Burst, 1)
	if o.lent == nil {
		// The previous lender may have lent its whole burst just before.
		o.lent = limiter.NewBucket(now, limit, 0)
		return
	}
	o.lent.SetLimit(now, limit)
}

// Lend takes a token from the fraction that this VM lends. If none is available
// within maxWait, ok is false and wait is the delay before a retry, or 0 if this
// VM is not a lender.
func (s *Throttler) Lend(now time.Time, organisation string, maxWait time.Duration) (wait time.Duration, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.organisations[organisation]
	if o == nil || o.lent == nil {
		return 0, false
	}
	return o.lent.Reserve(now, maxWait)
}

// SnapshotDemand returns the demand of each organisation, to be sent to the other VMs.
//
// The shares are computed from the reported demand and not from later
// measurements, so that all VMs divide the rates by the same figures.
func (s *Throttler) SnapshotDemand(now time.Time) map[string]float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reported = map[string]float64{}
	for name, o := range s.organisations {
		o.measure(now)
		if o.demand > 0.01 {
			s.reported[name] = o.demand
		}
	}
	return s.reported
}

// measure updates the demand average.
func (o *organisationState) measure(now time.Time) {
	elapsed := now.Sub(o.measuredAt)
	if elapsed <= 0 {
		return
	}
	weight := min(1, elapsed.Seconds()/demandWindow.Seconds())
	o.demand += weight * (float64(o.requested)/elapsed.Seconds() - o.demand)
	o.requested, o.measuredAt = 0, now
}

// Admit takes a token from this VM's share for one operation, which must wait
// until the token is available. If that takes longer than maxWait, ok is false and
// wait is the time until a token is available.
func (s *Throttler) Admit(now time.Time, organisation string, maxWait time.Duration) (wait time.Duration, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.organisations[organisation]
	if o == nil || o.split == nil || o.total.Rate <= 0 {
		return 0, true
	}
	return o.split.Reserve(now, maxWait)
}

// CountRequest counts a requested operation.
func (s *Throttler) CountRequest(organisation string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o := s.organisations[organisation]; o != nil {
		o.requested++
	}
}

// ReturnToken returns the token of an operation that did not run.
func (s *Throttler) ReturnToken(now time.Time, organisation string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o := s.organisations[organisation]; o != nil && o.split != nil {
		o.split.ReturnToken(now)
	}
}

// Limit returns the rate and burst of an organisation over the whole fleet.
func (s *Throttler) Limit(organisation string) (limiter.Limit, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.organisations[organisation]
	if o == nil {
		return limiter.Limit{}, false
	}
	return o.total, true
}

// Share returns this VM's share of an organisation's rate and the demand at this VM.
func (s *Throttler) Share(organisation string) (share, demand float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.organisations[organisation]
	if o == nil {
		return 0, 0
	}
	return o.share, o.demand
}
