// Package sharer holds each organisation to its rate and burst over the whole
// fleet, without a call for each request.
//
// Every VM tells the others how much each organisation asks of it. A VM's share
// of a rate is its part of that demand, so all shares together make up the
// rate. A VM that is not heard keeps the share that it was last known to have,
// until it is known to be gone; for itself it keeps that share, too.
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
}

// account is the state of one organisation.
type account struct {
	whole  limiter.Limit
	bucket *limiter.Bucket
	share  float64
	demand float64
	since  time.Time
	asked  int
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
// share is left to each of the silent VMs, which may be spending it.
func (s *Sharer) SetPeers(now time.Time, peers []Peer, silent int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peers, s.silent = peers, silent
	s.divide(now)
}

// divide works out this VM's share of each rate. The lock is held.
func (s *Sharer) divide(now time.Time) {
	heard := float64(len(s.peers) + 1)
	part := heard / (heard + float64(s.silent))
	for name, a := range s.accounts {
		total := s.told[name]
		for _, p := range s.peers {
			total += p.Demand[name]
		}
		a.share = part / heard
		if total > 0 {
			a.share = part * (evenPart/heard + (1-evenPart)*s.told[name]/total)
		}
		limit := a.whole.Scale(a.share)
		limit.Burst = max(limit.Burst, 1)
		if a.bucket == nil {
			a.bucket = limiter.NewBucket(now, limit, max(1, limit.Burst*firstTokens))
			continue
		}
		a.bucket.Set(now, limit)
	}
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

// Admit takes a token for one operation, which must wait for it, but not longer
// than the longest wait. Without a token, wait tells when to come back.
//
// An organisation at its limit so loses no token to the moments in which it
// asks for nothing at this VM.
func (s *Sharer) Admit(now time.Time, organisation string, longest time.Duration) (wait time.Duration, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.accounts[organisation]
	if a == nil || a.bucket == nil || a.whole.Rate <= 0 {
		return 0, true
	}
	a.asked++
	return a.bucket.Reserve(now, longest)
}

// Return gives back the token of an operation that did not run.
func (s *Sharer) Return(now time.Time, organisation string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a := s.accounts[organisation]; a != nil && a.bucket != nil {
		a.bucket.Return(now)
	}
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
