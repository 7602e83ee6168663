// Package sharer holds each organisation to its rate and burst over the whole
// fleet, without a call for each request.
//
// One part of each rate is split: every VM tells the others how much each
// organisation asks of it, and its share is its part of that demand. A VM that
// is not heard keeps the share that it was last known to have until it is known
// to be gone. The other part is kept by one VM of each region, the lenders, and
// lent token by token to VMs that run short, so that a small organisation need
// not spread its rate over buckets of one token. A lender that hears only some of
// the VMs lends in proportion to those, so lenders that do not hear each other
// never lend more than the part.
package sharer

import (
	"sync"
	"time"

	"github.com/marigoldgauge/marigoldgauge/limiter"
)

const (
	// demandOver is the time over which demand is averaged: long enough for
	// small organisations, short against the window in which rates are counted.
	demandOver = 2 * time.Second
	// lentPart is the part of a rate that is lent: small enough that the split
	// part serves alone while the lenders are silent.
	lentPart = 0.6
	// evenPart is the part of a rate that is shared evenly whatever the demand,
	// so that the first requests at another VM need not wait for news.
	evenPart = 0.15
	// firstTokens is the part of its burst that a process starts with: others
	// may have spent the burst just before.
	firstTokens = 0.5
	// AssumedSilent is the number of other VMs assumed before anything is known.
	AssumedSilent = 31
)

// Sharer admits operations. It is safe for concurrent use.
type Sharer struct {
	mu       sync.Mutex
	accounts map[string]*account
	told     map[string]float64
	peers    []Peer
	silent   int
	lends    func(organisation string) float64
	heard    float64
	large    bool
}

// account is the state of one organisation.
type account struct {
	whole  limiter.Limit
	bucket *limiter.Bucket
	lent   *limiter.Bucket
	share  float64
	demand float64
	since  time.Time
	asked  int
	// admitted and refused count operations for the metrics.
	admitted, refused uint64
}

// New returns a Sharer without organisations.
func New() *Sharer {
	return &Sharer{accounts: map[string]*account{}, told: map[string]float64{}, silent: AssumedSilent}
}

// SetLimits takes the rates of all organisations.
func (s *Sharer) SetLimits(now time.Time, limits map[string]limiter.Limit) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, l := range limits {
		a := s.accounts[name]
		if a == nil {
			a = &account{since: now}
			s.accounts[name] = a
		}
		a.whole = l
	}
	for name := range s.accounts {
		if _, ok := limits[name]; !ok {
			delete(s.accounts, name)
		}
	}
	s.divide(now)
}

// SetPeers takes what the other VMs tell, and divides the rates anew. An even
// share is left to each of the silent VMs, which may be spending it. The part of
// them all that was heard a moment ago bounds what this VM lends. lends returns
// its part of what is lent of a rate: 0 unless it is a lender.
//
// In a large fleet a rate is lent whole: an even split of a small rate among
// hundreds of VMs serves nobody.
func (s *Sharer) SetPeers(now time.Time, peers []Peer, silent int, heard float64, large bool, lends func(organisation string) float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peers, s.silent, s.heard, s.large, s.lends = peers, silent, heard, large, lends
	s.divide(now)
}

// divide works out this VM's share of each rate. The lock is held.
func (s *Sharer) divide(now time.Time) {
	heard := float64(len(s.peers) + 1)
	part := heard / (heard + float64(s.silent))
	for name, a := range s.accounts {
		total := s.told[name]
		if s.large {
			total = 0
		}
		for _, p := range s.peers {
			if !s.large {
				total += p.Demand[name]
			}
		}
		a.share = part / heard
		if total > 0 {
			a.share = part * (evenPart/heard + (1-evenPart)*s.told[name]/total)
		}
		s.setLent(now, name, a)
		limit := a.whole.Scale((1 - s.lent()) * a.share)
		if !s.large {
			limit.Burst = max(limit.Burst, 1)
		}
		if a.bucket == nil {
			a.bucket = limiter.NewBucket(now, limit, max(1, limit.Burst*firstTokens))
			continue
		}
		a.bucket.Set(now, limit)
	}
}

// lent returns the part of the rates that is lent. The lock is held.
func (s *Sharer) lent() float64 {
	if s.large {
		return 1
	}
	return lentPart
}

// setLent works out what this VM lends of one rate. The lock is held.
func (s *Sharer) setLent(now time.Time, name string, a *account) {
	part := 0.0
	if s.lends != nil {
		part = s.lends(name)
	}
	if part <= 0 {
		a.lent = nil
		return
	}
	limit := a.whole.Scale(s.lent() * s.heard * part)
	limit.Burst = max(limit.Burst, 1)
	if a.lent == nil {
		// The VM that lent before may have lent its whole burst just now.
		a.lent = limiter.NewBucket(now, limit, 0)
		return
	}
	a.lent.Set(now, limit)
}

// Lend takes a token of the part that this VM lends. Without one, wait tells
// when to come back, or is zero when this VM is not the lender.
func (s *Sharer) Lend(now time.Time, organisation string, longest time.Duration) (wait time.Duration, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.accounts[organisation]
	if a == nil || a.lent == nil {
		return 0, false
	}
	return a.lent.Reserve(now, longest)
}

// Tell returns the demand of each organisation, for the other VMs.
//
// The shares follow what was told and not what was measured since, so that all
// VMs divide the rates by the same figures.
func (s *Sharer) Tell(now time.Time) map[string]float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.told = map[string]float64{}
	for name, a := range s.accounts {
		a.measure(now)
		if a.demand > 0.01 {
			s.told[name] = a.demand
		}
	}
	return s.told
}

// measure brings the demand up to date.
func (a *account) measure(now time.Time) {
	span := now.Sub(a.since)
	if span <= 0 {
		return
	}
	weight := min(1, span.Seconds()/demandOver.Seconds())
	a.demand += weight * (float64(a.asked)/span.Seconds() - a.demand)
	a.asked, a.since = 0, now
}

// Admit takes a token of this VM's share for one operation, which must wait for
// it, but not longer than the longest wait. Without a token, wait tells when
// there will be one.
func (s *Sharer) Admit(now time.Time, organisation string, longest time.Duration) (wait time.Duration, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.accounts[organisation]
	if a == nil || a.bucket == nil || a.whole.Rate <= 0 {
		return 0, true
	}
	return a.bucket.Reserve(now, longest)
}

// Ask counts an operation that was asked for.
func (s *Sharer) Ask(organisation string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a := s.accounts[organisation]; a != nil {
		a.asked++
	}
}

// Return gives back the token of an operation that did not run.
func (s *Sharer) Return(now time.Time, organisation string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a := s.accounts[organisation]; a != nil && a.bucket != nil {
		a.bucket.Return(now)
	}
}

// Limit returns the rate and burst of an organisation over the whole fleet.
func (s *Sharer) Limit(organisation string) (limiter.Limit, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.accounts[organisation]
	if a == nil {
		return limiter.Limit{}, false
	}
	return a.whole, true
}

// Share returns this VM's part of the rate of an organisation, and the demand here.
func (s *Sharer) Share(organisation string) (share, demand float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.accounts[organisation]
	if a == nil {
		return 0, 0
	}
	return a.share, a.demand
}
