package registrar_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/marigoldgauge/marigoldgauge/registrar"
)

// start is the time at which every test begins.
var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func member(id string) registrar.Member {
	return registrar.Member{ID: id, Address: netip.MustParseAddrPort("127.0.0.1:1"), Incarnation: 1}
}

func ids(r registrar.Roster) []string {
	var out []string
	for _, m := range r.Members {
		out = append(out, m.ID)
	}
	return out
}

func TestRosterReflectsHeartbeats(t *testing.T) {
	g := NewWithT(t)
	c := registrar.NewCoordinator(start, registrar.Roster{Version: 5, Members: []registrar.Member{member("old")}})
	c.RecordHeartbeat(start, member("a"))
	c.RecordHeartbeat(start, member("b"))
	r := c.Roster(start)
	g.Expect(ids(r)).To(Equal([]string{"a", "b", "old"}))
	g.Expect(r.Version).To(Equal(uint64(6)))

	c.RecordHeartbeat(start.Add(900*time.Millisecond), member("a"))
	r = c.Roster(start.Add(1100 * time.Millisecond))
	g.Expect(ids(r)).To(Equal([]string{"a"}))
	g.Expect(c.Roster(start.Add(1200 * time.Millisecond)).Version).To(Equal(r.Version))
}

func TestSuspectIsRemovedOnlyAfterMissedHeartbeats(t *testing.T) {
	g := NewWithT(t)
	c := registrar.NewCoordinator(start, registrar.Roster{})
	c.RecordHeartbeat(start, member("a"))
	c.Suspect(start.Add(100*time.Millisecond), "a")
	g.Expect(ids(c.Roster(start.Add(300 * time.Millisecond)))).To(Equal([]string{"a"}))
	g.Expect(ids(c.Roster(start.Add(500 * time.Millisecond)))).To(BeEmpty())
	c.RecordHeartbeat(start.Add(600*time.Millisecond), member("a"))
	g.Expect(ids(c.Roster(start.Add(1200 * time.Millisecond)))).To(Equal([]string{"a"}))
}

func TestHeartbeatOfAnEarlierProcessIsIgnored(t *testing.T) {
	g := NewWithT(t)
	c := registrar.NewCoordinator(start, registrar.Roster{})
	later := member("a")
	later.Incarnation = 2
	c.RecordHeartbeat(start, later)
	c.RecordHeartbeat(start.Add(time.Second), member("a"))
	g.Expect(c.Roster(start.Add(1001 * time.Millisecond)).Members).To(BeEmpty())
}

func TestOwnerExcludesLeavingAndAvoidedVMs(t *testing.T) {
	g := NewWithT(t)
	r := registrar.Roster{Members: []registrar.Member{member("a"), member("b"), member("c")}}
	first, ok := r.PoolOwner("g", nil)
	g.Expect(ok).To(BeTrue())
	second, _ := r.PoolOwner("g", func(id string) bool { return id == first.ID })
	g.Expect(second.ID).NotTo(Equal(first.ID))
	for i := range r.Members {
		if r.Members[i].ID == first.ID {
			r.Members[i].Leaving = true
		} else {
			r.Members[i].UnfitGroups = []string{"g"}
		}
	}
	last, ok := r.PoolOwner("g", nil)
	g.Expect(ok).To(BeTrue())
	g.Expect(last.ID).To(Equal(second.ID), "an unfit VM is better than none, a leaving one is not")
}

// Applying differences must yield the same roster as receiving the full one.
func TestDifferencesYieldTheFullRoster(t *testing.T) {
	g := NewWithT(t)
	random := rand.New(rand.NewPCG(3, 3))
	now := start
	c := registrar.NewCoordinator(now, registrar.Roster{})
	var received registrar.Roster
	for n := range 2000 {
		now = now.Add(100 * time.Millisecond)
		for i := range 12 {
			if random.IntN(12) != 0 {
				m := member(fmt.Sprintf("vm-%02d", i))
				m.Leaving = random.IntN(10) == 0
				c.RecordHeartbeat(now, m)
			}
		}
		full := c.Roster(now)
		if random.IntN(3) == 0 {
			continue
		}
		members, gone, ok := c.Since(received.Version)
		if !ok {
			received = full
			continue
		}
		received = received.Apply(registrar.Roster{Version: full.Version, Members: members}, gone)
		g.Expect(ids(received)).To(Equal(ids(full)), "round %d", n)
		for i := range received.Members {
			g.Expect(received.Members[i].Leaving).To(Equal(full.Members[i].Leaving))
		}
	}
}

func TestIntervalGrowsWithTheCell(t *testing.T) {
	g := NewWithT(t)
	g.Expect(registrar.HeartbeatInterval(9)).To(Equal(200 * time.Millisecond))
	g.Expect(registrar.HeartbeatInterval(64)).To(Equal(time.Second))
}

func BenchmarkRoster(b *testing.B) {
	for _, n := range []int{1, 10, 100, 1000} {
		b.Run(fmt.Sprintf("vms=%d", n), func(b *testing.B) {
			c := registrar.NewCoordinator(start, registrar.Roster{})
			for i := range n {
				c.RecordHeartbeat(start, member(fmt.Sprintf("vm-%d", i)))
			}
			b.ReportAllocs()
			for range b.N {
				c.Roster(start)
			}
		})
	}
}

func BenchmarkOwner(b *testing.B) {
	for _, n := range []int{1, 10, 100, 1000} {
		b.Run(fmt.Sprintf("vms=%d", n), func(b *testing.B) {
			r := registrar.Roster{}
			for i := range n {
				r.Members = append(r.Members, member(fmt.Sprintf("vm-%d", i)))
			}
			b.ReportAllocs()
			for range b.N {
				r.PoolOwner("members-1", nil)
			}
		})
	}
}
