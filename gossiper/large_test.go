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

// controlBytes is the part of the 18 KB/s that a VM may spend on control that
// telling and hearing news may take.
const controlBytes = 6 << 10

// mostShort is the size of the largest fleet under the race detector, which takes
// minutes for larger ones; those run without it.
const mostShort = 100

// beyondShort leaves a fleet to the run without the race detector.
func beyondShort(t *testing.T, vms int) {
	t.Helper()
	if testing.Short() && vms > mostShort {
		t.Skip("a fleet of this size runs without the race detector")
	}
}

// What a VM sends does not grow with the fleet.
func TestMessagesOfALargeFleet(t *testing.T) {
	tests := []struct {
		vms, zones int
		// messages bounds the messages a second and VM: reports to two speakers twice
		// a second, a digest for each, and the speakers' own.
		messages float64
	}{
		{30, 6, 14}, {100, 6, 14}, {195, 6, 14}, {300, 6, 14}, {600, 20, 20},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprint(tt.vms), func(t *testing.T) {
			beyondShort(t, tt.vms)
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
				g.Expect(bytesPerVM).To(BeNumerically("<=", controlBytes))
			})
		})
	}
}

// A fleet that starts at once does not flood itself.
func TestStartOfALargeFleet(t *testing.T) {
	beyondShort(t, 195)
	fleet(t, 195, 6, func(g *WithT, h *hub, _ []*gossiper.Gossiper, _ []*port) {
		sent, bytes := h.counts()
		t.Logf("the first 10 s: %d messages, %d bytes a VM", sent/195, bytes/195)
		// Greetings to the availability zone, and twice what is sent at rest.
		g.Expect(sent / 195).To(BeNumerically("<=", 33+2*14*10))
		g.Expect(bytes / 195).To(BeNumerically("<=", 10*18<<10))
	})
}

// A VM knows the version of the configuration that its speakers have, from whom
// it fetches it, and a speaker that of the speakers of all availability zones.
func TestVersionsOfSpeakersAreKnown(t *testing.T) {
	fleet(t, 60, 6, func(g *WithT, _ *hub, vms []*gossiper.Gossiper, _ []*port) {
		for n, vm := range vms {
			versions := map[string]int{}
			for _, p := range vm.Alive(time.Now()) {
				if p.Version > 0 {
					versions[p.AvailabilityZone]++
				}
			}
			if !vm.Speaks(time.Now()) {
				g.Expect(versions[fmt.Sprintf("z-%d", n%6)]).To(BeNumerically(">=", 2), "at VM %d", n)
				continue
			}
			for zone := range 6 {
				g.Expect(versions[fmt.Sprintf("z-%d", zone)]).To(BeNumerically(">=", 1), "at speaker %d", n)
			}
		}
	})
}

// A VM that dies is noticed by all, in its availability zone and beyond, also
// if it spoke for it; one that comes back is heard again.
func TestDeathsInALargeFleet(t *testing.T) {
	fleet(t, 100, 6, func(g *WithT, h *hub, vms []*gossiper.Gossiper, ports []*port) {
		var dead []int
		for n, vm := range vms {
			if vm.Speaks(time.Now()) && n%6 == 0 {
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

// News that one VM hears reach all within a second, with a floor between two
// hurried messages.
func TestNewsReachAll(t *testing.T) {
	for _, n := range []int{100, 195, 500} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			beyondShort(t, n)
			f := &spreading{heard: map[int]bool{}}
			fleetWith(t, n, n/50+2, f, func(g *WithT, _ *hub, vms []*gossiper.Gossiper, _ []*port) {
				f.learn(7)
				vms[7].Hurry()
				time.Sleep(time.Second)
				g.Expect(f.count()).To(Equal(n))
			})
		})
	}
}

// A primary that one availability zone cannot reach is tallied by all others.
func TestVotesReachAll(t *testing.T) {
	f := &spreading{heard: map[int]bool{}, lost: func(n int) bool { return n%6 == 2 }}
	fleetWith(t, 60, 6, f, func(g *WithT, _ *hub, vms []*gossiper.Gossiper, _ []*port) {
		for n, vm := range vms {
			lost, served := vm.Votes(time.Now(), "db", 3)
			wantLost, wantServed := 10, 50
			if n%6 == 2 {
				wantLost--
			} else {
				wantServed--
			}
			g.Expect([]int{lost, served}).To(Equal([]int{wantLost, wantServed}), "at VM %d", n)
			g.Expect(vm.Contested(time.Now(), "db")).To(BeTrue())
		}
	})
}

// The messages of a VM are dated so that they never seem younger than they are.
func TestMessagesAreDated(t *testing.T) {
	f := &spreading{heard: map[int]bool{}}
	fleetWith(t, 60, 6, f, func(g *WithT, _ *hub, _ []*gossiper.Gossiper, _ []*port) {
		dated, undated, tooYoung := f.dates()
		g.Expect(dated).To(BeNumerically(">", undated))
		g.Expect(tooYoung).To(BeZero())
	})
}

// Datagrams that are not understood are passed over, whatever they hold.
func TestGarbledMessages(t *testing.T) {
	fleet(t, 20, 2, func(g *WithT, h *hub, vms []*gossiper.Gossiper, ports []*port) {
		random := rand.New(rand.NewPCG(1, 2))
		heard := h.last(ports[0].at)
		for n := range 4000 {
			b := make([]byte, random.IntN(40))
			for i := range b {
				b[i] = byte(random.Uint32())
			}
			if n%2 == 0 {
				// A message that was well formed, with some bytes changed.
				b = append([]byte(nil), heard...)
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
