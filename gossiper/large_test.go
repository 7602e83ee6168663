package gossiper_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/marigoldgauge/marigoldgauge/gossiper"
)

// gossipBytesPerSecond is the share of gossip, in bytes per second, of the 18 KB/s that a VM
// may use for control traffic.
const gossipBytesPerSecond = 6 << 10

// maxShortFleet is the size of the largest fleet tested with -short, as under the race
// detector, which takes minutes for larger fleets; those run without it.
const maxShortFleet = 100

// skipLargeIfShort skips a test with -short if its fleet is larger than maxShortFleet.
func skipLargeIfShort(t *testing.T, vms int) {
	t.Helper()
	if testing.Short() && vms > maxShortFleet {
		t.Skip("a fleet of this size runs without the race detector")
	}
}

// The traffic that a VM sends must not grow with the fleet.
func TestMessagesOfALargeFleet(t *testing.T) {
	tests := []struct {
		vms, zones int
		// messages is the limit of messages per second and VM: reports to two relays
		// twice a second, a digest for each, and the relays' own messages.
		messages float64
	}{
		{30, 6, 14}, {100, 6, 14}, {195, 6, 14}, {300, 6, 14}, {600, 20, 20},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprint(tt.vms), func(t *testing.T) {
			skipLargeIfShort(t, tt.vms)
			fleet(t, tt.vms, tt.zones, func(g *WithT, h *hub, vms []*gossiper.Gossiper, _ []*port) {
				for _, vm := range vms {
					g.Expect(vm.Alive(time.Now())).To(HaveLen(tt.vms - 1))
				}
				sent, bytes := h.counts()
				const span = 10 * time.Second
				time.Sleep(span)
				sentAfter, bytesAfter := h.counts()
				perVM := float64(sentAfter-sent) / float64(tt.vms) / span.Seconds()
				bytesPerVM := float64(bytesAfter-bytes) / float64(tt.vms) / span.Seconds()
				t.Logf("%d VMs: %.1f messages and %.0f bytes a second and VM", tt.vms, perVM, bytesPerVM)
				g.Expect(perVM).To(BeNumerically("<=", tt.messages))
				g.Expect(bytesPerVM).To(BeNumerically("<=", gossipBytesPerSecond))
			})
		})
	}
}

// A fleet whose VMs start at the same time must not flood the network.
func TestStartOfALargeFleet(t *testing.T) {
	skipLargeIfShort(t, 195)
	fleet(t, 195, 6, func(g *WithT, h *hub, _ []*gossiper.Gossiper, _ []*port) {
		sent, bytes := h.counts()
		t.Logf("the first 10 s: %d messages, %d bytes a VM", sent/195, bytes/195)
		// Greetings to the availability zone, and twice the steady-state traffic.
		g.Expect(sent / 195).To(BeNumerically("<=", 33+2*14*10))
		g.Expect(bytes / 195).To(BeNumerically("<=", 10*18<<10))
	})
}

// A VM must know the configuration version of its relays, from which it fetches the
// configuration, and a relay that of the relays of all availability zones.
func TestVersionsOfRelaysAreKnown(t *testing.T) {
	fleet(t, 60, 6, func(g *WithT, _ *hub, vms []*gossiper.Gossiper, _ []*port) {
		for n, vm := range vms {
			versions := map[string]int{}
			for _, p := range vm.Alive(time.Now()) {
				if p.Version > 0 {
					versions[p.AvailabilityZone]++
				}
			}
			if !vm.IsRelay(time.Now()) {
				g.Expect(versions[fmt.Sprintf("z-%d", n%6)]).To(BeNumerically(">=", 2), "at VM %d", n)
				continue
			}
			for zone := range 6 {
				g.Expect(versions[fmt.Sprintf("z-%d", zone)]).To(BeNumerically(">=", 1), "at relay %d", n)
			}
		}
	})
}

// All VMs, inside and outside its availability zone, must detect that a VM is
// silent, even if it was a relay, and that it has returned.
func TestFailedRelaysOfALargeFleetAreDetected(t *testing.T) {
	fleet(t, 100, 6, func(g *WithT, h *hub, vms []*gossiper.Gossiper, ports []*port) {
		var dead []int
		for n, vm := range vms {
			if vm.IsRelay(time.Now()) && n%6 == 0 {
				dead = append(dead, n)
			}
		}
		g.Expect(dead).To(HaveLen(2))
		h.cut(ports, dead, true)
		time.Sleep(9 * time.Second)
		for n, vm := range vms {
			if !slices.Contains(dead, n) {
				g.Expect(vm.Alive(time.Now())).To(HaveLen(97), "at VM %d", n)
				g.Expect(vm.Members(time.Now())).To(HaveLen(99), "a silent VM still belongs to the fleet")
			}
		}
		h.cut(ports, dead, false)
		time.Sleep(9 * time.Second)
		for n, vm := range vms {
			g.Expect(vm.Alive(time.Now())).To(HaveLen(99), "at VM %d", n)
		}
	})
}

// A change known to one VM must reach all within a second, despite the minimum time
// between two messages sent ahead of the interval.
func TestChangeReachesAll(t *testing.T) {
	for _, n := range []int{100, 195, 500} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			skipLargeIfShort(t, n)
			f := &changeTracker{known: map[int]bool{}}
			fleetWith(t, n, n/50+2, f, func(g *WithT, _ *hub, vms []*gossiper.Gossiper, _ []*port) {
				f.setKnown(7)
				vms[7].SendNow()
				time.Sleep(time.Second)
				g.Expect(f.count()).To(Equal(n))
			})
		})
	}
}

// The votes on a primary that one availability zone cannot reach must be known to
// all VMs.
func TestVotesReachAll(t *testing.T) {
	f := &changeTracker{known: map[int]bool{}, lost: func(n int) bool { return n%6 == 2 }}
	fleetWith(t, 60, 6, f, func(g *WithT, _ *hub, vms []*gossiper.Gossiper, _ []*port) {
		for n, vm := range vms {
			lost, served := vm.VoteTotals(time.Now()).Count("db", 3)
			wantLost, wantServed := 10, 50
			if n%6 == 2 {
				wantLost--
			} else {
				wantServed--
			}
			g.Expect([]int{lost, served}).To(Equal([]int{wantLost, wantServed}), "at VM %d", n)
			g.Expect(vm.Contested(time.Now())["db"]).To(BeTrue())
		}
	})
}

// The composition time of a message must never be later than the actual one.
func TestMessagesAreDated(t *testing.T) {
	f := &changeTracker{known: map[int]bool{}}
	fleetWith(t, 60, 6, f, func(g *WithT, _ *hub, _ []*gossiper.Gossiper, _ []*port) {
		dated, undated, tooYoung := f.datedCounts()
		g.Expect(dated).To(BeNumerically(">", undated))
		g.Expect(tooYoung).To(BeZero())
	})
}

// Datagrams that cannot be decoded must be ignored, whatever their content.
func TestMalformedDatagramsAreIgnored(t *testing.T) {
	fleet(t, 20, 2, func(g *WithT, h *hub, vms []*gossiper.Gossiper, ports []*port) {
		random := rand.New(rand.NewPCG(1, 2))
		received := h.last(ports[0].at)
		for n := range 4000 {
			b := make([]byte, random.IntN(40))
			for i := range b {
				b[i] = byte(random.Uint32())
			}
			if n%2 == 0 {
				// A well-formed message with some bytes changed.
				b = append([]byte(nil), received...)
				for range 1 + random.IntN(3) {
					b[random.IntN(len(b))] = byte(random.Uint32())
				}
			}
			if len(b) > 0 && n%3 == 0 {
				b[0] = byte(n % 8)
			}
			g.Expect(ports[1].Send(ports[0].at, b)).To(Succeed())
			time.Sleep(time.Millisecond)
		}
		time.Sleep(30 * time.Second)
		for _, vm := range vms {
			g.Expect(len(vm.Alive(time.Now()))).To(BeNumerically(">=", 19))
		}
	})
}
