package gossiper

import (
	"fmt"
	"net"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/marigoldgauge/marigoldgauge/accountant"
	"github.com/marigoldgauge/marigoldgauge/timekeeper"
)

// silentTransport sends nothing.
type silentTransport struct{}

func (silentTransport) Send(netip.AddrPort, []byte) error { return nil }

func (silentTransport) Receive([]byte) (int, netip.AddrPort, error) {
	return 0, netip.AddrPort{}, net.ErrClosed
}

func (silentTransport) Close() error { return nil }

// costFleet is a relay with what it receives from a fleet.
type costFleet struct {
	*Gossiper
	now     time.Time
	reports []Message
	digests []Digest
}

// costFleets are the sizes of the fleets whose cost is measured.
var costFleets = []struct{ vms, zones int }{{300, 6}, {3700, 20}}

// newCostFleet returns a relay of a fleet that knows all VMs.
func newCostFleet(vms, zones int) *costFleet {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	seeds, messages := map[string]Seed{}, map[string]Message{}
	for n := range vms {
		name := fmt.Sprintf("vm-%d", n)
		m := Message{Name: name, AvailabilityZone: fmt.Sprintf("z-%d", n%zones), Incarnation: 1, Version: 3,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n / 250), byte(n%250 + 1)}), 7560)}
		messages[name] = m
		seeds[name] = Seed{Address: m.Address, AvailabilityZone: m.AvailabilityZone}
	}
	first := newGossiper(messages["vm-0"])
	first.SetSeeds(start, seeds)
	f := &costFleet{Gossiper: newGossiper(messages[first.relays(start, "z-0")[0]]), now: start}
	f.SetSeeds(start, seeds)
	for zone := range zones {
		relays := first.relays(start, fmt.Sprintf("z-%d", zone))
		for i, relay := range relays {
			d := Digest{From: messages[relay], Direct: true, Updates: []ZoneEntries{{Zone: fmt.Sprintf("z-%d", zone), Full: true}}}
			for n := zone; n < vms; n += zones {
				m := messages[fmt.Sprintf("vm-%d", n)]
				// A VM reports to two relays.
				if k := n / zones % len(relays); k != i && (k+1)%len(relays) != i {
					continue
				}
				d.Updates[0].Entries = append(d.Updates[0].Entries, m.entry())
				if relay == f.name && m.Name != f.name {
					f.reports = append(f.reports, m)
				}
			}
			if relay != f.name {
				var s relayState
				s.apply(start, &d)
				d.Hash = s.hash
				f.digests = append(f.digests, d)
			}
		}
	}
	f.receiveAll()
	for n := range f.digests {
		f.digests[n].Updates = nil
	}
	return f
}

// newGossiper returns the Gossiper of the VM that sends a message.
func newGossiper(m Message) *Gossiper {
	var now time.Time
	g := New(silentTransport{}, timekeeper.ClockFunc(func() time.Time { return now }), accountant.New(), m.Name, m.AvailabilityZone,
		func(time.Time, Audience) Message { return m }, func(time.Time, Message) {})
	g.self = m
	return g
}

// receiveAll receives the messages of one interval.
func (f *costFleet) receiveAll() {
	f.now = f.now.Add(interval)
	f.sequence++
	for _, m := range f.reports {
		m.Sequence = f.sequence
		f.handleMessage(f.now, m, true)
	}
	for _, d := range f.digests {
		d.From.Sequence = f.sequence
		f.handleDigest(f.now, &d)
	}
}

// What one interval of a quiet fleet costs a relay must not grow with the fleet as the
// ranking of all VMs and copies of all entries for each digest do.
func BenchmarkQuietRelay(b *testing.B) {
	for _, size := range costFleets {
		b.Run(fmt.Sprint(size.vms), func(b *testing.B) {
			f := newCostFleet(size.vms, size.zones)
			b.ReportAllocs()
			for b.Loop() {
				f.receiveAll()
				f.sendRound(f.now, false)
			}
		})
	}
}

// A VM that learns of many primaries asks for each whether it is a relay.
func BenchmarkIsRelay(b *testing.B) {
	for _, size := range costFleets {
		b.Run(fmt.Sprint(size.vms), func(b *testing.B) {
			f := newCostFleet(size.vms, size.zones)
			for b.Loop() {
				f.IsRelay(f.now)
			}
		})
	}
}

// A relay whose availability zone restarts one VM after the other gets a changed entry
// with each message.
func BenchmarkChangingRelay(b *testing.B) {
	for _, size := range costFleets {
		b.Run(fmt.Sprint(size.vms), func(b *testing.B) {
			f := newCostFleet(size.vms, size.zones)
			for b.Loop() {
				for n := range f.reports[:10] {
					f.reports[n].Incarnation++
					f.handleMessage(f.now, f.reports[n], true)
					f.Alive(f.now)
				}
				f.receiveAll()
				f.sendRound(f.now, false)
			}
		})
	}
}

// The entries of a relay's digests must be the same whether they are updated after each
// change or built from scratch: a receiver compares only their hash.
func TestEntriesAfterChanges(t *testing.T) {
	g := NewWithT(t)
	f := newCostFleet(300, 6)
	f.updateEntries(f.now)
	for step := range 40 {
		d := f.digests[step%len(f.digests)]
		zone := d.From.AvailabilityZone
		changed := Entry{Name: fmt.Sprintf("vm-%d", 300+step), Incarnation: uint64(step)}
		d.Updates = []ZoneEntries{{Zone: zone, Entries: []Entry{changed}, Removed: []string{fmt.Sprintf("vm-%d", step)}}}
		f.mu.Lock()
		f.relayStates[d.From.Name].apply(f.now, &d)
		if step%7 == 0 {
			// The relay falls silent.
			f.relayStates[d.From.Name].heardAt = f.now.Add(-time.Minute)
		}
		f.peers[f.reports[step%len(f.reports)].Name].Leaving = step%2 == 0
		f.updateEntries(f.now)
		incremental := f.changes
		f.changes = newChanges()
		f.updateEntries(f.now)
		g.Expect(incremental.all.hash).To(Equal(f.changes.all.hash))
		g.Expect(incremental.reporting.hash).To(Equal(f.changes.reporting.hash))
		f.changes = incremental
		f.mu.Unlock()
	}
}

// The cached relays of an availability zone must be those of a fresh ranking: a stale list
// would keep reports going to a VM that is silent or leaves.
func TestCachedRelaysAreCurrent(t *testing.T) {
	g := NewWithT(t)
	f := newCostFleet(300, 6)
	for step := range 120 {
		f.receiveAll()
		switch step % 6 {
		case 1:
			f.reports[step%len(f.reports)].Leaving = true
		case 2:
			// A relay and the entries that only it has fall silent.
			f.digests = f.digests[1:]
		case 3:
			f.addSeed(f.now, fmt.Sprintf("vm-new-%d", step), Seed{AvailabilityZone: f.zone, Capacity: uint8(step % 3)})
		case 4:
			f.self.Leaving = !f.self.Leaving
		case 5:
			f.now = f.now.Add(retryAfter / 3)
		}
		f.sendRound(f.now, false)
		for zone := range 6 {
			name := fmt.Sprintf("z-%d", zone)
			cached := f.relays(f.now, name)
			f.relayLists = map[string]*relayList{}
			g.Expect(cached).To(Equal(f.relays(f.now, name)), "step %d, zone %s", step, name)
		}
		if len(f.digests) < 2 {
			break
		}
	}
}

// The list of VMs must be the same whether it is updated or built from scratch, also for
// VMs that were forgotten and have returned.
func TestRosterAfterChanges(t *testing.T) {
	g := NewWithT(t)
	f := newCostFleet(300, 6)
	all := f.digests
	var some []Digest
	for _, d := range all {
		if d.From.AvailabilityZone != "z-5" {
			some = append(some, d)
		}
	}
	for step := range 60 {
		f.digests = all
		if step >= 5 && step < 50 {
			// The VMs of an availability zone are silent for longer than forgetTimeout.
			f.digests = some
		}
		f.receiveAll()
		d := all[0]
		d.From.Sequence = f.sequence
		d.Updates = []ZoneEntries{{Zone: d.From.AvailabilityZone, Entries: []Entry{{Name: fmt.Sprintf("vm-%d", 300+step%9), Incarnation: uint64(step)}}}}
		if step%3 == 1 {
			d.Updates[0].Removed = []string{fmt.Sprintf("vm-%d", 300+(step+4)%9)}
		}
		f.relayStates[d.From.Name].apply(f.now, &d)
		all[0].Hash, some[0].Hash = f.relayStates[d.From.Name].hash, f.relayStates[d.From.Name].hash
		f.roster.stale = true
		updated, kept, merged := f.Alive(f.now), f.roster, map[string]mergedEntries{}
		f.roster = roster{}
		for name, s := range f.relayStates {
			merged[name], s.merged = s.merged, mergedEntries{}
		}
		g.Expect(f.Alive(f.now)).To(Equal(updated), "step %d", step)
		f.roster = kept
		for name, s := range f.relayStates {
			s.merged = merged[name]
		}
	}
}
