// Package borrower finds tokens of an organisation's rate at the VM that lends
// them. That VM is the first by rendezvous hashing of the organisation among
// those that are heard.
package borrower

import (
	"context"
	"net/netip"
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
)

// Fleet knows the other VMs.
type Fleet interface {
	// Alive returns the other VMs that were heard a moment ago.
	Alive(now time.Time) []gossiper.Peer
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
	sharer *sharer.Sharer
	clock  clocker.Clock
	fleet  Fleet

	mu      sync.Mutex
	nonce   uint64
	pending map[uint64]chan answer
}

// New returns a Borrower of the VM name.
func New(name string, s *sharer.Sharer, c clocker.Clock) *Borrower {
	return &Borrower{name: name, sharer: s, clock: c, pending: map[uint64]chan answer{}}
}

// Join gives the Borrower its fleet. It is called before any other method.
func (b *Borrower) Join(f Fleet) {
	b.fleet = f
}

// Lends reports whether this VM lends the tokens of an organisation.
func (b *Borrower) Lends(now time.Time, organisation string) bool {
	_, self := b.lender(now, organisation)
	return self
}

// lender returns the VM that lends the tokens of an organisation.
func (b *Borrower) lender(now time.Time, organisation string) (at netip.AddrPort, self bool) {
	alive := b.fleet.Alive(now)
	first := placer.First(organisation, gossiper.Staying(b.name, alive))
	for _, p := range alive {
		if p.Name == first {
			return p.Address, false
		}
	}
	return at, true
}

// Borrow takes a token for one operation, which must wait for it. Without one,
// wait tells when to come back.
func (b *Borrower) Borrow(ctx context.Context, organisation string, longest time.Duration) (wait time.Duration, ok bool) {
	now := b.clock.Now()
	at, self := b.lender(now, organisation)
	if self {
		return b.sharer.Lend(now, organisation, longest)
	}
	nonce, ch := b.register()
	defer b.forget(nonce)
	q, err := cbor.Marshal(question{Nonce: nonce, Organisation: organisation, Longest: longest})
	if err != nil {
		panic(err)
	}
	b.fleet.Ask(at, Topic, q)
	t := time.NewTimer(answerWithin)
	defer t.Stop()
	select {
	case a := <-ch:
		return a.Wait, a.Lent
	case <-t.C:
	case <-ctx.Done():
	}
	return 0, false
}

// register returns the nonce of a new question and where its answer arrives.
func (b *Borrower) register() (uint64, chan answer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.nonce++
	ch := make(chan answer, 1)
	b.pending[b.nonce] = ch
	return b.nonce, ch
}

// forget drops a question.
func (b *Borrower) forget(nonce uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.pending, nonce)
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

// Hear takes the answer of the lender.
func (b *Borrower) Hear(_ time.Time, raw []byte) {
	var a answer
	if cbor.Unmarshal(raw, &a) != nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if ch := b.pending[a.Nonce]; ch != nil {
		// A datagram may arrive twice.
		select {
		case ch <- a:
		default:
		}
	}
}
