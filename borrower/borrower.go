// Package borrower borrows tokens of an organisation's rate from the VMs that lend
// them. Each region has one lender per organisation, chosen by rendezvous hashing
// of the organisation among the live VMs of the region.
//
// Borrowing serves organisations whose operations arrive unevenly over the VMs,
// and VMs that have just started or lost contact with others. While one lender is
// silent, those of the other regions continue to lend.
package borrower

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/marigoldgauge/marigoldgauge/gossiper"
	"github.com/marigoldgauge/marigoldgauge/ranker"
	"github.com/marigoldgauge/marigoldgauge/throttler"
	"github.com/marigoldgauge/marigoldgauge/timekeeper"
)

const (
	// Topic is the gossip topic of the token requests.
	Topic gossiper.Topic = 2
	// responseTimeout is the timeout of a token request: twice the round trip to the
	// farthest region.
	responseTimeout = 40 * time.Millisecond
	// silentLenderBackoff is how long a lender that did not respond is skipped: several
	// times responseTimeout, so that few operations wait for it without result.
	silentLenderBackoff = 500 * time.Millisecond
)

// Fleet provides the other VMs and sends requests to them.
type Fleet interface {
	// Alive returns the other VMs that were heard from recently.
	Alive(now time.Time) []gossiper.Peer
	// Generation returns a number that changes with the set of VMs that are alive and
	// not leaving.
	Generation(now time.Time) uint64
	// SendRequest sends a request to a VM; there may be no response.
	SendRequest(to netip.AddrPort, t gossiper.Topic, request []byte)
}

// tokenRequest requests one token.
type tokenRequest struct {
	Nonce        uint64        `cbor:"1,keyasint"`
	Organisation string        `cbor:"2,keyasint"`
	MaxWait      time.Duration `cbor:"3,keyasint"`
}

// tokenResponse states whether a token was lent.
type tokenResponse struct {
	Nonce uint64 `cbor:"1,keyasint"`
	// Granted reports that the token is lent to the requester, to be used after Wait.
	Granted bool `cbor:"2,keyasint,omitempty"`
	// Wait is the time until the token is available, or the delay before a retry.
	Wait time.Duration `cbor:"3,keyasint,omitempty"`
}

// Borrower borrows tokens and lends them to other VMs. It is safe for concurrent use.
type Borrower struct {
	name      string
	zone      string
	region    func(availabilityZone string) string
	throttler *throttler.Throttler
	clock     timekeeper.Clock
	fleet     Fleet

	mu      sync.Mutex
	nonce   uint64
	pending map[uint64]*pendingRequest
	// lendersOf caches the lenders by organisation; generation is the generation of
	// the fleet for which they were computed.
	generation uint64
	lendersOf  map[string][]lender
	// silentUntil is the time until which a lender that did not respond is skipped.
	silentUntil map[netip.AddrPort]time.Time
	// noTokenUntil is the time at which a lender without a token will have one, as it
	// stated.
	noTokenUntil map[lenderQuota]time.Time
}

// lenderQuota identifies what a lender lends of the rate of one organisation.
type lenderQuota struct {
	lender       netip.AddrPort
	organisation string
}

// New returns the Borrower of a VM, given the name and the availability zone of the
// VM. The region function returns the region of an availability zone.
func New(name, zone string, region func(availabilityZone string) string, s *throttler.Throttler, c timekeeper.Clock) *Borrower {
	return &Borrower{
		name: name, zone: zone, region: region, throttler: s, clock: c, pending: map[uint64]*pendingRequest{}, lendersOf: map[string][]lender{},
		silentUntil: map[netip.AddrPort]time.Time{}, noTokenUntil: map[lenderQuota]time.Time{},
	}
}

// SetFleet sets the fleet of the Borrower. It must be called before any other method.
func (b *Borrower) SetFleet(f Fleet) {
	b.fleet = f
}

// lender is a VM that lends the tokens of an organisation.
type lender struct {
	address netip.AddrPort
	self    bool
}

// LendingFraction returns the fraction of the lent part of a rate that this VM lends, or
// 0 if it is not a lender.
func (b *Borrower) LendingFraction(now time.Time, organisation string) float64 {
	lenders := b.lenders(now, organisation)
	if !slices.ContainsFunc(lenders, func(l lender) bool { return l.self }) {
		return 0
	}
	return 1 / float64(len(lenders))
}

// lenders returns the VMs that lend the tokens of an organisation, the nearest first.
func (b *Borrower) lenders(now time.Time, organisation string) []lender {
	generation := b.fleet.Generation(now)
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.generation != generation {
		b.generation, b.lendersOf = generation, map[string][]lender{}
		b.silentUntil, b.noTokenUntil = map[netip.AddrPort]time.Time{}, map[lenderQuota]time.Time{}
	}
	if l, ok := b.lendersOf[organisation]; ok {
		return l
	}
	l := b.rank(organisation, b.fleet.Alive(now))
	b.lendersOf[organisation] = l
	return l
}

// rank returns the lenders of an organisation. The caller holds the lock.
func (b *Borrower) rank(organisation string, alive []gossiper.Peer) []lender {
	self := gossiper.Peer{Message: gossiper.Message{Name: b.name, AvailabilityZone: b.zone}}
	regions := map[string][]gossiper.Peer{}
	for _, p := range append([]gossiper.Peer{self}, alive...) {
		region := b.region(p.AvailabilityZone)
		regions[region] = append(regions[region], p)
	}
	var near, far []lender
	for _, region := range slices.Sorted(maps.Keys(regions)) {
		l := b.regionLender(organisation, regions[region])
		if region == b.region(b.zone) {
			near = append(near, l)
		} else {
			far = append(far, l)
		}
	}
	return append(near, far...)
}

// regionLender returns the lender among the VMs of a region. If all of them are
// leaving, one of them continues to lend.
func (b *Borrower) regionLender(organisation string, vms []gossiper.Peer) lender {
	staying := slices.DeleteFunc(slices.Clone(vms), func(p gossiper.Peer) bool { return p.Leaving })
	if len(staying) == 0 {
		staying = vms
	}
	names := make([]string, 0, len(staying))
	for _, p := range staying {
		names = append(names, p.Name)
	}
	first := ranker.First(organisation, names)
	n := slices.IndexFunc(staying, func(p gossiper.Peer) bool { return p.Name == first })
	return lender{address: staying[n].Address, self: first == b.name}
}

// Borrow borrows a token for one operation, which must wait until the token is
// available. If none is available within maxWait, ok is false and wait is the
// delay before a retry, or 0 if no lender responds.
//
// A lender that has a token now is preferred to one that will have one later. A
// lender without a token gets no further request before the time at which it will
// have one, so that an organisation far over its rate causes few requests.
func (b *Borrower) Borrow(ctx context.Context, organisation string, maxWait time.Duration) (wait time.Duration, ok bool) {
	lenders := b.lenders(b.clock.Now(), organisation)
	if len(lenders) == 1 {
		return b.requestToken(ctx, lenders[0], organisation, maxWait)
	}
	var soonest lender
	for _, l := range lenders {
		w, silent := b.lenderState(b.clock.Now(), l, organisation)
		if silent {
			continue
		}
		if w <= 0 {
			w, ok = b.requestToken(ctx, l, organisation, 0)
		}
		if ok {
			return w, true
		}
		if w > 0 && (wait == 0 || w < wait) {
			soonest, wait = l, w
		}
	}
	if wait == 0 || wait > maxWait {
		return wait, false
	}
	return b.requestToken(ctx, soonest, organisation, maxWait)
}

// lenderState returns the time until a lender expects to have a token again, by its
// last response, and whether it recently failed to respond. The time is not positive
// if the lender may have a token now.
func (b *Borrower) lenderState(now time.Time, l lender, organisation string) (wait time.Duration, silent bool) {
	if l.self {
		return 0, false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.noTokenUntil[lenderQuota{l.address, organisation}].Sub(now), now.Before(b.silentUntil[l.address])
}

// recordResponse records the response of a lender, or that it did not respond.
func (b *Borrower) recordResponse(now time.Time, l lender, organisation string, r tokenResponse, responded bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case !responded:
		b.silentUntil[l.address] = now.Add(silentLenderBackoff)
	case !r.Granted && r.Wait > 0:
		b.noTokenUntil[lenderQuota{l.address, organisation}] = now.Add(r.Wait)
	}
}

// requestToken requests a token from one lender.
func (b *Borrower) requestToken(ctx context.Context, l lender, organisation string, maxWait time.Duration) (wait time.Duration, ok bool) {
	if l.self {
		return b.throttler.Lend(b.clock.Now(), organisation, maxWait)
	}
	nonce, ch := b.addPending(b.clock.Now(), l)
	request, err := cbor.Marshal(tokenRequest{Nonce: nonce, Organisation: organisation, MaxWait: maxWait})
	if err != nil {
		panic(err)
	}
	b.fleet.SendRequest(l.address, Topic, request)
	t := time.NewTimer(responseTimeout)
	defer t.Stop()
	select {
	case r := <-ch:
		b.recordResponse(b.clock.Now(), l, organisation, r, true)
		return r.Wait, r.Granted
	case <-t.C:
		b.recordResponse(b.clock.Now(), l, organisation, tokenResponse{}, false)
	case <-ctx.Done():
	}
	return 0, false
}

// pendingRequest is a token request without a response so far.
type pendingRequest struct {
	to   netip.AddrPort
	sent time.Time
	ch   chan tokenResponse
}

const (
	// maxPendingRequests is the number of pending requests above which requests older
	// than pendingRequestTTL are dropped.
	maxPendingRequests = 1024
	pendingRequestTTL  = 2 * time.Second
)

// addPending adds a pending request and returns its nonce and the channel of its
// response.
func (b *Borrower) addPending(now time.Time, to lender) (uint64, chan tokenResponse) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.pending) >= maxPendingRequests {
		maps.DeleteFunc(b.pending, func(_ uint64, p *pendingRequest) bool { return now.Sub(p.sent) > pendingRequestTTL })
	}
	b.nonce++
	ch := make(chan tokenResponse, 1)
	b.pending[b.nonce] = &pendingRequest{to: to.address, sent: now, ch: ch}
	return b.nonce, ch
}

// HandleRequest returns the response to a token request of another VM, or nil if the
// request is malformed.
func (b *Borrower) HandleRequest(now time.Time, raw []byte) []byte {
	var request tokenRequest
	if cbor.Unmarshal(raw, &request) != nil {
		return nil
	}
	response := tokenResponse{Nonce: request.Nonce}
	response.Wait, response.Granted = b.throttler.Lend(now, request.Organisation, request.MaxWait)
	out, err := cbor.Marshal(response)
	if err != nil {
		panic(err)
	}
	return out
}

// HandleResponse handles the response of a lender. A response that is too late for its
// operation still shows that the lender responds.
func (b *Borrower) HandleResponse(_ time.Time, raw []byte) {
	var response tokenResponse
	if cbor.Unmarshal(raw, &response) != nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	// A datagram may be delivered twice.
	if p := b.pending[response.Nonce]; p != nil {
		delete(b.pending, response.Nonce)
		delete(b.silentUntil, p.to)
		p.ch <- response
	}
}
