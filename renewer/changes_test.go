package renewer

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/gomega"

	"github.com/marigoldgauge/marigoldgauge/gossiper"
	"github.com/marigoldgauge/marigoldgauge/leaser"
	"github.com/marigoldgauge/marigoldgauge/observer"
	"github.com/marigoldgauge/marigoldgauge/timekeeper"
	"github.com/marigoldgauge/marigoldgauge/tracker"
)

// start is the present time of the tests.
var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// exchange is a VM without an Observer that keeps the last request that it sent.
type exchange struct {
	*Renewer
	request []byte
	bytes   int
	// floors are the floors of its groups, and alive the live VMs.
	floors map[string]tracker.Position
	alive  []gossiper.Peer
}

func newExchange(name string) *exchange {
	e := &exchange{}
	e.Renewer = New(Dependencies{Name: name, Incarnation: 1, Observer: e, Record: e, Fleet: e, Clock: timekeeper.ClockFunc(func() time.Time { return start }), Lease: 2 * time.Second})
	return e
}

func (e *exchange) RenewPrimaryLeases(time.Time, time.Time, time.Time, observer.LeaseRecord) {}
func (e *exchange) RevokePrimaryLeases(time.Time, map[string]uint64)                         {}
func (e *exchange) CommitFloor(group string, _ uint64) tracker.Position                      { return e.floors[group] }
func (e *exchange) LearnRecord(time.Time, leaser.Record)                                     {}
func (e *exchange) Read(context.Context) (leaser.Record, time.Time, error) {
	return e.Record(), start, nil
}
func (e *exchange) Alive(time.Time) []gossiper.Peer                          { return e.alive }
func (e *exchange) AliveInZone(time.Time) []gossiper.Peer                    { return nil }
func (e *exchange) Members(time.Time) []gossiper.Peer                        { return nil }
func (e *exchange) SendRequest(_ netip.AddrPort, _ gossiper.Topic, b []byte) { e.request = b }

// peer returns the VM as others see it.
func (e *exchange) peer() gossiper.Peer {
	return gossiper.Peer{Message: gossiper.Message{Name: e.Name, Incarnation: e.Incarnation}}
}

// deliver delivers the last request to a VM and its response back.
func (e *exchange) deliver(to *exchange) {
	response := to.HandleRequest(start, e.request)
	e.bytes, to.bytes = len(e.request), len(response)
	e.HandleResponse(start, response)
}

// announce sends a VM the record and takes its response.
func (e *exchange) announce(to *exchange) {
	e.sendRecord(start, to.peer())
	e.deliver(to)
}

// nextRecord returns a record that follows another one: one more term is superseded or
// opened, or one is withdrawn.
func nextRecord(r *rand.Rand, before leaser.Record, groups int) leaser.Record {
	next := before
	next.Superseded, next.Opened, next.Writes = maps.Clone(before.Superseded), maps.Clone(before.Opened), before.Writes+1
	group := fmt.Sprintf("group-%d", r.IntN(groups))
	switch r.IntN(5) {
	case 0:
		delete(next.Superseded, group)
	case 1, 2:
		next.Opened[group] = next.Superseded[group] + 1
	default:
		// The former term of a group without a known primary is zero.
		next.Superseded[group] += r.Uint64N(2)
	}
	return next
}

// VMs that announce records to each other and request them, in any order and with lost
// messages, know the record as it was written. A VM that misses a withdrawal would
// otherwise never treat the primary as current again.
func TestChangesLeadToTheRecord(t *testing.T) {
	for seed := range uint64(300) {
		g := NewWithT(t)
		r := rand.New(rand.NewPCG(seed, 1))
		vms := []*exchange{newExchange("a"), newExchange("b"), newExchange("c")}
		written := []leaser.Record{{}, {Writes: 1, Superseded: map[string]uint64{}, Opened: map[string]uint64{}}}
		for range 200 {
			latest := written[len(written)-1]
			from, to := vms[r.IntN(3)], vms[r.IntN(3)]
			switch r.IntN(5) {
			case 0:
				written = append(written, nextRecord(r, latest, 6))
			case 1:
				from.apply(start, start, latest)
			case 2:
				from.announce(to)
			case 3:
				from.sendRequest(start, to.peer())
				from.deliver(to)
			default:
				// The response is lost.
				from.sendRecord(start, to.peer())
				to.HandleRequest(start, from.request)
			}
			for _, vm := range vms {
				known := vm.Record()
				g.Expect(hashTerms(known)).To(Equal(hashTerms(written[known.Writes])), "seed %d, turn %d at %s", seed, known.Writes, vm.Name)
			}
		}
	}
}

// A VM that cannot follow changes gets the whole record with the next announcement, and
// with the next response.
func TestWholeRecordAfterMismatch(t *testing.T) {
	record := func(turn uint64, superseded map[string]uint64) leaser.Record {
		return leaser.Record{Writes: turn, Superseded: superseded, Opened: map[string]uint64{"x": 1, "y": 1, "z": 1}}
	}
	tests := []struct {
		name   string
		repeat func(from, to *exchange)
	}{
		{"announced", func(from, to *exchange) { from.announce(to) }},
		{"requested", func(from, to *exchange) { to.sendRequest(start, from.peer()); to.deliver(from) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := NewWithT(t)
			from, to := newExchange("from"), newExchange("to")
			from.apply(start, start, record(1, nil))
			// The withdrawal of the term that was superseded at turn 2 is not seen by the sender.
			to.apply(start, start, record(2, map[string]uint64{"g": 3}))
			to.sendRecord(start, from.peer())
			from.acknowledged[processID{"to", 1}] = acknowledgement{record: recordID{turn: 2}, acceptsChanges: true}
			from.apply(start, start, record(3, nil))
			tt.repeat(from, to)
			g.Expect(to.Record().Writes).To(Equal(uint64(2)))
			tt.repeat(from, to)
			g.Expect(to.Record()).To(Equal(record(3, nil)))
		})
	}
}

// After the loss of an availability zone the record names over a thousand groups, and a
// change of one must not be sent as the whole record.
func TestChangesAreSmall(t *testing.T) {
	g := NewWithT(t)
	r := rand.New(rand.NewPCG(1, 1))
	record := leaser.Record{Writes: 1, Superseded: map[string]uint64{}, Opened: map[string]uint64{}}
	for n := range 1300 {
		group := fmt.Sprintf("group-%d", n)
		record.Superseded[group], record.Opened[group] = 1, 2
	}
	from, to := newExchange("from"), newExchange("to")
	from.apply(start, start, record)
	from.announce(to)
	g.Expect(to.Record()).To(Equal(record))
	record = nextRecord(r, record, 1300)
	from.apply(start, start, record)
	from.announce(to)
	g.Expect(from.bytes).To(BeNumerically("<", 200))
	g.Expect(to.Record()).To(Equal(record))
	record = nextRecord(r, record, 1300)
	from.apply(start, start, record)
	to.sendRequest(start, from.peer())
	to.deliver(from)
	g.Expect(from.bytes).To(BeNumerically("<", 200))
	g.Expect(to.Record()).To(Equal(record))
}

// A term of zero, as of a group whose primary was never known, must not count as a mismatch:
// from then on, each VM would be sent the whole record.
func TestChangesWithTermZero(t *testing.T) {
	g := NewWithT(t)
	from, to := newExchange("from"), newExchange("to")
	record := leaser.Record{Writes: 1, Superseded: map[string]uint64{"a": 1, "b": 1, "c": 1}}
	from.apply(start, start, record)
	from.announce(to)
	record.Writes, record.Superseded = 2, map[string]uint64{"a": 1, "b": 1, "c": 1, "d": 0}
	from.apply(start, start, record)
	from.announce(to)
	g.Expect(to.Record().Writes).To(Equal(uint64(2)))
}

// A process of an earlier version knows no changes: it is sent whole records, and its
// whole records are taken.
func TestRecordsOfEarlierVersion(t *testing.T) {
	g := NewWithT(t)
	v := newExchange("v")
	first := leaser.Record{Writes: 1, Superseded: map[string]uint64{"a": 1, "b": 1}, Opened: map[string]uint64{"a": 2}}
	v.apply(start, start, first)
	second := nextRecord(rand.New(rand.NewPCG(1, 1)), first, 2)
	v.apply(start, start, second)
	b, err := cbor.Marshal(recordRequest{Nonce: 1, KnownTurn: 1})
	g.Expect(err).NotTo(HaveOccurred())
	var response recordResponse
	g.Expect(cbor.Unmarshal(v.HandleRequest(start, b), &response)).To(Succeed())
	g.Expect(response.Record).To(Equal(second))
	g.Expect(response.Changes).To(BeNil())
	third := nextRecord(rand.New(rand.NewPCG(2, 1)), second, 2)
	b, err = cbor.Marshal(recordRequest{Nonce: 2, KnownTurn: 3, Record: &third})
	g.Expect(err).NotTo(HaveOccurred())
	v.HandleRequest(start, b)
	g.Expect(v.Record()).To(Equal(third))
}
