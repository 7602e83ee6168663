// Package borrower finds tokens of an organisation's rate at the VMs that lend
// them: one of each region, the first by rendezvous hashing of the organisation
// among those that are heard there.
//
// It answers organisations whose operations arrive unevenly, and VMs that have
// just started or lost sight of others: while one lender is silent, those of the
// other regions lend on.
package borrower

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/marigoldgauge/marigoldgauge/clocker"
	"github.com/marigoldgauge/marigoldgauge/gossiper"
	"github.com/marigoldgauge/marigoldgauge/placer"
	"github.com/marigoldgauge/marigoldgauge/sharer"
)

const (
	// Topic is the topic of the questions.
	Topic gossiper.Topic = 2
	// answerWithin bounds the wait for the lender: twice the way to the farthest
	// region and back.
	answerWithin = 40 * time.Millisecond
	// passOverFor is how long a lender that did not answer is passed over: a few
	// times as long as the wait for it, so that few operations wait in vain.
	passOverFor = 500 * time.Millisecond
)

// Fleet knows the other VMs.
type Fleet interface {
	// Alive returns the other VMs that were heard a moment ago.
	Alive(now time.Time) []gossiper.Peer
	// Generation changes whenever another set of VMs is alive and stays.
	Generation(now time.Time) uint64
	// Ask sends a question to a VM; the answer may never come.
	Ask(to netip.AddrPort, t gossiper.Topic, question []byte)
}

// question asks for one token.
type question struct {
	Nonce        uint64        `cbor:"1,keyasint"`
	Organisation string        `cbor:"2,keyasint"`
	Longest      time.Duration `cbor:"3,keyasint"`
}

// answer tells whether a token was lent.
type answer struct {
	Nonce uint64 `cbor:"1,keyasint"`
	// Lent reports that the token is the asker's once Wait is over.
	Lent bool `cbor:"2,keyasint,omitempty"`
	// Wait is when the token exists, or when to ask again.
	Wait time.Duration `cbor:"3,keyasint,omitempty"`
}

// Borrower borrows and lends tokens. It is safe for concurrent use.
type Borrower struct {
	name   string
	zone   string
	region func(availabilityZone string) string
	sharer *sharer.Sharer
	clock  clocker.Clock
	fleet  Fleet

	mu      sync.Mutex
	nonce   uint64
	pending map[uint64]*inquiry
	// ranked are the lenders by organisation as of a generation of the fleet.
	generation uint64
	ranked     map[string][]lender
	// silentUntil is until when a lender that did not answer is passed over.
	silentUntil map[netip.AddrPort]time.Time
	// emptyUntil is when a lender said that it will have a token.
	emptyUntil map[account]time.Time
}

// account is what a lender lends of the rate of one organisation.
type account struct {
	lender       netip.AddrPort
	organisation string
}

// New returns a Borrower of the VM name in an availability zone; region returns
// the region of one.
func New(name, zone string, region func(availabilityZone string) string, s *sharer.Sharer, c clocker.Clock) *Borrower {
	return &Borrower{
		name: name, zone: zone, region: region, sharer: s, clock: c, pending: map[uint64]*inquiry{}, ranked: map[string][]lender{},
		silentUntil: map[netip.AddrPort]time.Time{}, emptyUntil: map[account]time.Time{},
	}
}

// Join gives the Borrower its fleet. It is called before any other method.
func (b *Borrower) Join(f Fleet) {
	b.fleet = f
}

// lender is a VM that lends the tokens of an organisation.
type lender struct {
	address netip.AddrPort
	self    bool
}

// Lends returns the part that this VM lends of what is lent of a rate, 0 for none.
func (b *Borrower) Lends(now time.Time, organisation string) float64 {
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
		b.generation, b.ranked = generation, map[string][]lender{}
		b.silentUntil, b.emptyUntil = map[netip.AddrPort]time.Time{}, map[account]time.Time{}
	}
	if l, ok := b.ranked[organisation]; ok {
		return l
	}
	l := b.rank(organisation, b.fleet.Alive(now))
	b.ranked[organisation] = l
	return l
}

// rank chooses the lenders of an organisation. The lock is held.
func (b *Borrower) rank(organisation string, alive []gossiper.Peer) []lender {
	self := gossiper.Peer{Message: gossiper.Message{Name: b.name, AvailabilityZone: b.zone}}
	regions := map[string][]gossiper.Peer{}
	for _, p := range append([]gossiper.Peer{self}, alive...) {
		region := b.region(p.AvailabilityZone)
		regions[region] = append(regions[region], p)
	}
	var near, far []lender
	for _, region := range slices.Sorted(maps.Keys(regions)) {
		l := b.first(organisation, regions[region])
		if region == b.region(b.zone) {
			near = append(near, l)
		} else {
			far = append(far, l)
		}
	}
	return append(near, far...)
}

// first returns the lender among the VMs of a region; if all leave, one of them lends on.
func (b *Borrower) first(organisation string, vms []gossiper.Peer) lender {
	staying := slices.DeleteFunc(slices.Clone(vms), func(p gossiper.Peer) bool { return p.Leaving })
	if len(staying) == 0 {
		staying = vms
	}
	names := make([]string, 0, len(staying))
	for _, p := range staying {
		names = append(names, p.Name)
	}
	first := placer.First(organisation, names)
	n := slices.IndexFunc(staying, func(p gossiper.Peer) bool { return p.Name == first })
	return lender{address: staying[n].Address, self: first == b.name}
}

// Borrow takes a token for one operation, which must wait for it. Without one,
// wait tells when to come back, or is zero when no lender answers.
//
// A lender that has a token now goes before one that will. One that has none is
// not asked again before it said it would, so that an organisation far beyond
// its rate costs few questions.
func (b *Borrower) Borrow(ctx context.Context, organisation string, longest time.Duration) (wait time.Duration, ok bool) {
	lenders := b.lenders(b.clock.Now(), organisation)
	if len(lenders) == 1 {
		return b.ask(ctx, lenders[0], organisation, longest)
	}
	var soonest lender
	for _, l := range lenders {
		w, silent := b.recall(b.clock.Now(), l, organisation)
		if silent {
			continue
		}
		if w <= 0 {
			w, ok = b.ask(ctx, l, organisation, 0)
		}
		if ok {
			return w, true
		}
		if w > 0 && (wait == 0 || w < wait) {
			soonest, wait = l, w
		}
	}
	if wait == 0 || wait > longest {
		return wait, false
	}
	return b.ask(ctx, soonest, organisation, longest)
}

// recall returns how long a lender will be without a token as it said, and
// whether it did not answer a moment ago.
func (b *Borrower) recall(now time.Time, l lender, organisation string) (wait time.Duration, silent bool) {
	if l.self {
		return 0, false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.emptyUntil[account{l.address, organisation}].Sub(now), now.Before(b.silentUntil[l.address])
}

// remember notes what a lender answered, if it did.
func (b *Borrower) remember(now time.Time, l lender, organisation string, a answer, answered bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case !answered:
		b.silentUntil[l.address] = now.Add(passOverFor)
	case !a.Lent && a.Wait > 0:
		b.emptyUntil[account{l.address, organisation}] = now.Add(a.Wait)
	}
}

// ask asks one lender for a token.
func (b *Borrower) ask(ctx context.Context, l lender, organisation string, longest time.Duration) (wait time.Duration, ok bool) {
	if l.self {
		return b.sharer.Lend(b.clock.Now(), organisation, longest)
	}
	nonce, ch := b.register(b.clock.Now(), l)
	q, err := cbor.Marshal(question{Nonce: nonce, Organisation: organisation, Longest: longest})
	if err != nil {
		panic(err)
	}
	b.fleet.Ask(l.address, Topic, q)
	t := time.NewTimer(answerWithin)
	defer t.Stop()
	select {
	case a := <-ch:
		b.remember(b.clock.Now(), l, organisation, a, true)
		return a.Wait, a.Lent
	case <-t.C:
		b.remember(b.clock.Now(), l, organisation, answer{}, false)
	case <-ctx.Done():
	}
	return 0, false
}

// inquiry is a question that was sent.
type inquiry struct {
	to   netip.AddrPort
	sent time.Time
	ch   chan answer
}

const (
	// keptInquiries is the number of questions above which those without an answer
	// are dropped once they are older than inquiryAge.
	keptInquiries = 1024
	inquiryAge    = 2 * time.Second
)

// register returns the nonce of a new question and where its answer arrives.
func (b *Borrower) register(now time.Time, to lender) (uint64, chan answer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.pending) >= keptInquiries {
		maps.DeleteFunc(b.pending, func(_ uint64, i *inquiry) bool { return now.Sub(i.sent) > inquiryAge })
	}
	b.nonce++
	ch := make(chan answer, 1)
	b.pending[b.nonce] = &inquiry{to: to.address, sent: now, ch: ch}
	return b.nonce, ch
}

// Answer answers the question of another VM; nil is no answer.
func (b *Borrower) Answer(now time.Time, raw []byte) []byte {
	var q question
	if cbor.Unmarshal(raw, &q) != nil {
		return nil
	}
	a := answer{Nonce: q.Nonce}
	a.Wait, a.Lent = b.sharer.Lend(now, q.Organisation, q.Longest)
	out, err := cbor.Marshal(a)
	if err != nil {
		panic(err)
	}
	return out
}

// Hear takes the answer of a lender. One that comes too late for its operation
// still shows that the lender answers.
func (b *Borrower) Hear(_ time.Time, raw []byte) {
	var a answer
	if cbor.Unmarshal(raw, &a) != nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	// A datagram may arrive twice.
	if i := b.pending[a.Nonce]; i != nil {
		delete(b.pending, a.Nonce)
		delete(b.silentUntil, i.to)
		i.ch <- a
	}
}
