package gossiper_test

import (
	"context"
	"fmt"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"

	"github.com/marigoldgauge/marigoldgauge/accountant"
	"github.com/marigoldgauge/marigoldgauge/gossiper"
	"github.com/marigoldgauge/marigoldgauge/timekeeper"
)

// lastOldFrame is the last frame type that a process without compact messages reads.
const lastOldFrame = 5

// oldProcess is the transport of a process without compact messages: it sets no field of
// a header that it does not know, and unread counts the frames that it cannot read.
type oldProcess struct {
	*port
	unread atomic.Int64
}

func (p *oldProcess) Send(to netip.AddrPort, b []byte) error {
	var header map[int]any
	body, err := cbor.UnmarshalFirst(b[1:], &header)
	if err != nil {
		return err
	}
	delete(header, 3)
	delete(header, 4)
	encoded, err := cbor.Marshal(header)
	if err != nil {
		return err
	}
	return p.port.Send(to, append(append([]byte{b[0]}, encoded...), body...))
}

func (p *oldProcess) Receive(b []byte) (int, netip.AddrPort, error) {
	n, from, err := p.port.Receive(b)
	if err == nil && b[0] > lastOldFrame {
		p.unread.Add(1)
	}
	return n, from, err
}

// A process that does not read compact messages gets none: with them it would take the
// VMs of later processes for stopped and have no age of a position.
func TestOldAndNewProcessesSideBySide(t *testing.T) {
	f := &changeTracker{known: map[int]bool{}}
	var old []*oldProcess
	wrap := func(i int, p *port) gossiper.Transport {
		if i%3 != 0 {
			return p
		}
		o := &oldProcess{port: p}
		old = append(old, o)
		return o
	}
	fleetOn(t, 60, 2, f, wrap, func(g *WithT, _ *hub, vms []*gossiper.Gossiper, _ []*port) {
		for range 20 {
			time.Sleep(time.Second)
			for n, vm := range vms {
				g.Expect(vm.Alive(time.Now())).To(HaveLen(len(vms)-1), "at VM %d", n)
			}
		}
		for _, o := range old {
			g.Expect(o.unread.Load()).To(BeZero())
		}
		dated, undated, tooYoung := f.datedCounts()
		g.Expect(dated).To(BeNumerically(">", undated))
		g.Expect(tooYoung).To(BeZero())
	})
}

// quietBytesPerSecond bounds what a relay of a fleet of 300 VMs sends and receives per
// second when nothing changes: without the compact form it is over 18 KB/s.
const quietBytesPerSecond = 9 << 10

// The traffic of the busiest VM, a relay, must leave most of its budget to other parts.
func TestQuietRelay(t *testing.T) {
	skipLargeIfShort(t, 300)
	fleet(t, 300, 6, func(g *WithT, h *hub, _ []*gossiper.Gossiper, ports []*port) {
		before := h.traffic(ports)
		const span = 10 * time.Second
		time.Sleep(span)
		busiest := 0
		for n, bytes := range h.traffic(ports) {
			busiest = max(busiest, bytes-before[n])
		}
		t.Logf("busiest VM: %.0f bytes a second", float64(busiest)/span.Seconds())
		g.Expect(float64(busiest) / span.Seconds()).To(BeNumerically("<=", quietBytesPerSecond))
	})
}

// A process that starts at the address of another one knows no profile, while the other
// VMs still send it compact messages. It must learn of all VMs as quickly as any, and no
// message may be taken for one of the previous process or for younger than it is.
func TestRestartedProcessLearnsProfiles(t *testing.T) {
	f := &changeTracker{known: map[int]bool{}}
	fleetWith(t, 60, 2, f, func(g *WithT, h *hub, vms []*gossiper.Gossiper, ports []*port) {
		for n := range 8 {
			h.cut(ports, []int{n}, true)
			at, name, zone := ports[n].at, fmt.Sprintf("vm-%d", n), fmt.Sprintf("z-%d", n%2)
			p := &port{h: h, at: at, in: make(chan datagram, 1000), done: make(chan struct{})}
			h.mu.Lock()
			h.ports[at] = p
			h.mu.Unlock()
			seeds := map[string]gossiper.Seed{}
			for i, o := range ports {
				if i != n {
					seeds[fmt.Sprintf("vm-%d", i)] = gossiper.Seed{Address: o.at, AvailabilityZone: fmt.Sprintf("z-%d", i%2)}
				}
			}
			vm := gossiper.New(p, timekeeper.ClockFunc(time.Now), accountant.New(), name, zone, func(time.Time, gossiper.Audience) gossiper.Message {
				return gossiper.Message{Name: name, AvailabilityZone: zone, Address: at, Incarnation: 2, Version: uint64(time.Now().UnixNano())}
			}, func(_ time.Time, m gossiper.Message) { f.receive(n, m) })
			vm.SetSeeds(time.Now(), seeds)
			ctx, cancel := context.WithCancel(context.Background())
			var group errgroup.Group
			group.Go(func() error { return vm.Run(ctx) })
			time.Sleep(2 * time.Second)
			g.Expect(vm.Alive(time.Now())).To(HaveLen(len(vms)-1), "at the new process of VM %d", n)
			for _, peer := range vms[59].Alive(time.Now()) {
				if peer.Name == name {
					g.Expect(peer.Incarnation).To(BeEquivalentTo(2))
				}
			}
			// The VMs to come are started with this one gone and its first process back.
			cancel()
			g.Expect(group.Wait()).To(Succeed())
			h.mu.Lock()
			h.ports[at] = ports[n]
			h.mu.Unlock()
			h.cut(ports, []int{n}, false)
			time.Sleep(5 * time.Second)
		}
		_, _, tooYoung := f.datedCounts()
		g.Expect(tooYoung).To(BeZero())
	})
}
