// Package throttler limits each organisation to its rate and burst over the whole
// fleet, without a remote call for each request.
//
// A fraction of each rate is split: every VM reports the demand of each
// organisation to the others, and its share is its proportion of the total
// demand. Two VMs agree on the ratio of their demands by confirming the reports, and
// share evenly while they are not in touch. So the shares never exceed the split
// fraction in total, whichever VMs are cut off from which. The rest of the rate is
// held by one VM of each region, the lenders, and lent token by token to VMs that
// have none left, so that the rate of a small organisation is not spread over buckets
// of one token. A lender that hears only some of the VMs lends in proportion to their
// number, so lenders that do not hear each other never lend more than that rest in
// total. In a large fleet nothing is split, and the whole rate is lent.
package throttler

import (
	"math"
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
	// floorFraction is the fraction of a rate that counts as demand at each VM, at least, so
	// that the first requests at another VM need not wait until the demand is exchanged, and
	// that the ratio of two small demands stays bounded.
	floorFraction = 1.0 / 16
	// reportTolerance is the relative change of a demand from which on it is reported: a
	// demand that varies by chance around its mean would be counted by its lowest value.
	reportTolerance = 0.5
	// initialBurstFraction is the fraction of its burst with which a process starts:
	// other processes may have used the burst just before.
	initialBurstFraction = 0.5
	// DemandUnit is the unit of reported demand, in operations per second.
	DemandUnit = 0.01
	// AssumedSilentVMs is the number of other VMs that are assumed to exist and to be
	// silent until the fleet is known.
	AssumedSilentVMs = 31
)

// Throttler admits operations within the rates. It is safe for concurrent use.
type Throttler struct {
	mu              sync.Mutex
	organisations   map[string]*organisationState
	agreement       agreement
	silentVMs       int
	lendingFraction func(organisation string) float64
	heardFraction   float64
	largeFleet      bool
}

// organisationState is the rate limiting state of one organisation.
type organisationState struct {
	total  limiter.Limit
	split  *limiter.Bucket
	lent   *limiter.Bucket
	share  float64
	demand float64
	// reported is the demand in the last report, or zero if it counts as none.
	reported   float64
	measuredAt time.Time
	requested  int
	// admitted and refused count operations for the metrics.
	admitted, refused uint64
}

// New returns a Throttler without organisations.
func New() *Throttler {
	return &Throttler{organisations: map[string]*organisationState{}, silentVMs: AssumedSilentVMs}
}

// SetLimits sets the limits of organisations that are new or changed, and forgets the
// organisations that are gone. The shares of the others do not depend on them.
func (t *Throttler) SetLimits(now time.Time, changed map[string]limiter.Limit, gone ...string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, l := range changed {
		o := t.organisations[name]
		if o == nil {
			o = &organisationState{measuredAt: now}
			t.organisations[name] = o
		}
		o.total = l
		t.divideOne(now, name, o)
	}
	for _, name := range gone {
		delete(t.organisations, name)
	}
}

// SetPeers updates the demand reported by the other VMs and recomputes the
// shares. Each silent VM, from which nothing was received so far, is left an even
// share, which it may be using. The fraction of all VMs that was heard recently,
// heardFraction, bounds what this VM lends. lendingFraction returns the fraction of the
// lent part of a rate that this VM lends: 0 unless it is a lender.
//
// In a large fleet, a rate is lent as a whole: an even split of a small rate among
// hundreds of VMs would be too small to serve any of them.
func (t *Throttler) SetPeers(now time.Time, peers []Peer, silent int, heardFraction float64, largeFleet bool, lendingFraction func(organisation string) float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.silentVMs, t.heardFraction, t.largeFleet, t.lendingFraction = silent, heardFraction, largeFleet, lendingFraction
	t.agreement.setPeers(now, peers)
	t.divide(now)
}

// divide recomputes this VM's share of each rate. The caller holds the lock.
func (t *Throttler) divide(now time.Time) {
	for name, o := range t.organisations {
		t.divideOne(now, name, o)
	}
}

// divideOne recomputes this VM's share of the rate of an organisation. The caller holds the
// lock.
func (t *Throttler) divideOne(now time.Time, name string, o *organisationState) {
	ratios := float64(len(t.agreement.pairs))
	if !t.largeFleet {
		ratios = t.agreement.ratios(name, o.demandFloor())
	}
	o.share = 1 / (1 + ratios + float64(t.silentVMs))
	t.setLent(now, name, o)
	limit := o.total.Scale((1 - t.lentFractionInForce()) * o.share)
	if !t.largeFleet {
		limit.Burst = max(limit.Burst, 1)
	}
	if o.split == nil {
		o.split = limiter.NewBucket(now, limit, max(1, limit.Burst*initialBurstFraction))
		return
	}
	o.split.SetLimit(now, limit)
}

// lentFractionInForce returns the fraction of each rate that is lent. The caller
// holds the lock.
func (t *Throttler) lentFractionInForce() float64 {
	if t.largeFleet {
		return 1
	}
	return lentFraction
}

// setLent updates the limit of the tokens that this VM lends of one rate. The caller holds the lock.
func (t *Throttler) setLent(now time.Time, name string, o *organisationState) {
	fraction := 0.0
	if t.lendingFraction != nil {
		fraction = t.lendingFraction(name)
	}
	if fraction <= 0 {
		o.lent = nil
		return
	}
	limit := o.total.Scale(t.lentFractionInForce() * t.heardFraction * fraction)
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
func (t *Throttler) Lend(now time.Time, organisation string, maxWait time.Duration) (wait time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	o := t.organisations[organisation]
	if o == nil || o.lent == nil {
		return 0, false
	}
	return o.lent.Reserve(now, maxWait)
}

// SnapshotDemand returns the demand of each organisation, to be sent to the other VMs, and
// the number of the report, which they return once they take account of it.
//
// The shares are computed from the reported demand and not from later
// measurements, so that all VMs divide the rates by the same figures. They are in force
// from the next call of SetPeers on, which must precede the sending of the report.
func (t *Throttler) SnapshotDemand(now time.Time) (demand map[string]float64, number uint32) {
	t.mu.Lock()
	defer t.mu.Unlock()
	demand = map[string]float64{}
	for name, o := range t.organisations {
		o.measure(now)
		o.updateReported()
		if o.reported > 0 {
			demand[name] = o.reported
		}
	}
	return demand, t.agreement.report(now, demand)
}

// updateReported updates the demand to report, unless it has hardly changed.
func (o *organisationState) updateReported() {
	if math.Abs(o.demand-o.reported) >= reportTolerance*max(o.reported, o.demandFloor()) {
		o.reported = math.Floor(o.demand/DemandUnit) * DemandUnit
	}
}

// demandFloor returns the demand that counts at each VM, at least.
func (o *organisationState) demandFloor() float64 {
	return max(o.total.Rate*floorFraction, DemandUnit)
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
// wait is the time until a token is available. Organisations without a limit are
// always admitted.
func (t *Throttler) Admit(now time.Time, organisation string, maxWait time.Duration) (wait time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	o := t.organisations[organisation]
	if o == nil || o.split == nil || o.total.Rate <= 0 {
		return 0, true
	}
	return o.split.Reserve(now, maxWait)
}

// CountRequest counts a requested operation.
func (t *Throttler) CountRequest(organisation string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if o := t.organisations[organisation]; o != nil {
		o.requested++
	}
}

// ReturnToken returns the token of an operation that did not run.
func (t *Throttler) ReturnToken(now time.Time, organisation string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if o := t.organisations[organisation]; o != nil && o.split != nil {
		o.split.ReturnToken(now)
	}
}

// Limit returns the rate and burst of an organisation over the whole fleet.
func (t *Throttler) Limit(organisation string) (limiter.Limit, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	o := t.organisations[organisation]
	if o == nil {
		return limiter.Limit{}, false
	}
	return o.total, true
}

// Share returns this VM's share of an organisation's rate and the demand at this VM.
func (t *Throttler) Share(organisation string) (share, demand float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	o := t.organisations[organisation]
	if o == nil {
		return 0, 0
	}
	return o.share, o.demand
}
