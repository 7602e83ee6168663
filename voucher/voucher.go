// Package voucher lets each VM know, without asking the instances, that the
// primaries it knows have no successors.
//
// The VM that replaces a primary first writes into the fleet's record which
// term it ends. One VM reads that record several times a second, and the others
// ask it how old its knowledge is. For the length of a lease after the time as
// of which the record named no successor, a VM takes its primaries for the
// present ones. A successor takes no writes until all VMs have taken note, or
// the lease has passed since the record was written.
//
// Without the store the leases run out and the instances are asked instead.
package voucher

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/marigoldgauge/marigoldgauge/gossiper"
	"github.com/marigoldgauge/marigoldgauge/leaser"
	"github.com/marigoldgauge/marigoldgauge/placer"
)

const (
	// interval is how often the record is read, or asked for.
	interval = 400 * time.Millisecond
	// readAge is the age of the knowledge from others at which a VM reads the record itself.
	readAge = 3 * interval
	// readers is the number of VMs that go on reading while nobody's knowledge is
	// fresh; each call to the store has its price, whether it is answered or not.
	readers = 2
	// askedWhenStale is the number of VMs that are asked in turn then: more than
	// the readers, since the store may refuse some.
	askedWhenStale = 4
	// announceEvery is how often VMs that have not taken note are told again.
	announceEvery = 60 * time.Millisecond
	// margin is taken off a lease for clocks of uneven speed.
	margin = 50 * time.Millisecond
	// duty names the reading of the record for the ranking of the VMs.
	duty = "read-record"
)

// Voucher vouches for the primaries on one VM. It is safe for concurrent use.
type Voucher struct {
	Parts

	mu     sync.Mutex
	record leaser.Record
	asOf   time.Time
	known  bool
	nonce  uint64
	asked  map[uint64]time.Time
	noted  map[process]uint64

	// steps counts the steps; it belongs to the thread that takes them.
	steps int
}

// process is one process of a VM.
type process struct {
	name        string
	incarnation uint64
}

// New returns a Voucher that knows nothing.
func New(p Parts) *Voucher {
	return &Voucher{Parts: p, asked: map[uint64]time.Time{}, noted: map[process]uint64{}}
}

// Run keeps the knowledge fresh until ctx ends.
func (v *Voucher) Run(ctx context.Context) error {
	ticker := time.NewTicker(interval / 2)
	defer ticker.Stop()
	for n := 0; ; n++ {
		// The others are heard within the first interval; until then each would
		// take itself for the first.
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
		switch now := v.Clock.Now(); {
		case n%2 == 1:
			v.step(ctx, now)
		case n > 0:
			v.relay(now)
		}
	}
}

// relay asks the VM that reads the record between two steps, on behalf of the
// availability zone: its VMs ask this one, and what they hear is older by a step.
func (v *Voucher) relay(now time.Time) {
	if _, self := v.first(v.Fleet.Near(now)); !self {
		return
	}
	if source, self := v.first(v.Fleet.Alive(now)); !self {
		v.ask(now, source, nil)
	}
}

// step refreshes the knowledge once.
//
// The first VM reads the record, the first of each availability zone asks that
// one, and all others ask the first of their zone. While what they hear is not
// fresh, a few go on reading and the others look by turns.
func (v *Voucher) step(ctx context.Context, now time.Time) {
	alive := v.Fleet.Alive(now)
	source, self := v.first(v.Fleet.Near(now))
	if self {
		source, self = v.first(alive)
	}
	if !self {
		v.ask(now, source, nil)
	}
	stale := v.Age(now) > readAge
	read := self
	if stale {
		read = v.turn(now, alive)
	}
	if read {
		record, asOf, err := v.Parts.Record.Look(ctx)
		// Without an answer the lease runs out; whoever watches the store says that it is lost.
		if err == nil {
			v.take(v.Clock.Now(), asOf, record)
		}
	}
}

// first returns the first of this VM and some others that reach the store.
func (v *Voucher) first(others []gossiper.Peer) (p gossiper.Peer, self bool) {
	first := placer.First(duty, gossiper.Reaching(v.Name, others))
	for _, p := range others {
		if p.Name == first {
			return p, false
		}
	}
	return gossiper.Peer{}, true
}

// turn reports whether it is this VM's turn to read while nobody's knowledge is
// fresh, and asks one of those whose turn is more often.
func (v *Voucher) turn(now time.Time, alive []gossiper.Peer) bool {
	ranked := placer.Rank(duty, gossiper.Staying(v.Name, alive))
	v.steps++
	asked := ranked[v.steps%min(askedWhenStale, len(ranked))]
	for _, p := range alive {
		if p.Name == asked {
			v.ask(now, p, nil)
		}
	}
	rank := slices.Index(ranked, v.Name)
	turns := (len(ranked) + readers - 1) / readers
	return rank < readers || v.steps%turns == rank/readers
}

// Record returns the record as last heard.
func (v *Voucher) Record() leaser.Record {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.record
}

// Age returns how old the knowledge of the record is.
func (v *Voucher) Age(now time.Time) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return now.Sub(v.asOf)
}

// take takes the record as of a time.
func (v *Voucher) take(now, asOf time.Time, r leaser.Record) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.known && r.Turn < v.record.Turn {
		return
	}
	if !v.known || r.Turn > v.record.Turn || asOf.After(v.asOf) {
		v.asOf = asOf
	}
	v.record, v.known = r, true
	v.Parts.Record.Heard(now, r)
	for _, group := range v.Observer.Groups() {
		v.Observer.Vouch(now, asOf, asOf.Add(v.Lease-margin), group, r.Superseded[group], r.Opened[group])
	}
}

// note takes a later record of which it is not known how fresh it is.
func (v *Voucher) note(now time.Time, r leaser.Record) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.known && r.Turn <= v.record.Turn {
		return
	}
	v.record, v.known, v.asOf = r, true, time.Time{}
	v.Parts.Record.Heard(now, r)
	for group, superseded := range r.Superseded {
		v.Observer.Revoke(now, group, superseded)
	}
}
