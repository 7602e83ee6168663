package gossiper_test

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"

	"github.com/marigoldgauge/marigoldgauge/clocker"
	"github.com/marigoldgauge/marigoldgauge/gossiper"
)

// hub carries datagrams between VMs.
type hub struct {
	mu    sync.Mutex
	ports map[netip.AddrPort]*port
	sent  int
	bytes int
}

// port is the transport of one VM.
type port struct {
	h    *hub
	at   netip.AddrPort
	in   chan []byte
	done chan struct{}
	once sync.Once
	cut  bool
}

func (p *port) Send(to netip.AddrPort, b []byte) error {
	p.h.mu.Lock()
	o := p.h.ports[to]
	p.h.sent++
	p.h.bytes += len(b)
	cut := p.cut || o == nil || o.cut
	p.h.mu.Unlock()
	if cut {
		return nil
	}
	select {
	case o.in <- append([]byte(nil), b...):
	default: // The queue is full; datagrams get lost.
	}
	return nil
}

func (p *port) Receive(b []byte) (int, netip.AddrPort, error) {
	select {
	case m := <-p.in:
		return copy(b, m), p.at, nil
	case <-p.done:
		return 0, netip.AddrPort{}, net.ErrClosed
	}
}

func (p *port) Close() error {
	p.once.Do(func() { close(p.done) })
	return nil
}

// fleet starts n VMs in zones availability zones and plays a test.
func fleet(t *testing.T, n, zones int, test func(g *WithT, h *hub, vms []*gossiper.Gossiper, ports []*port)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		h := &hub{ports: map[netip.AddrPort]*port{}}
		var vms []*gossiper.Gossiper
		var ports []*port
		seeds := map[string]netip.AddrPort{}
		for i := range n {
			at := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i / 250), byte(i%250 + 1)}), 7560)
			p := &port{h: h, at: at, in: make(chan []byte, 1000), done: make(chan struct{})}
			h.ports[at] = p
			name, zone := fmt.Sprintf("vm-%d", i), fmt.Sprintf("z-%d", i%zones)
			seeds[name] = at
			ports = append(ports, p)
			vms = append(vms, gossiper.New(p, clocker.Func(time.Now), zone, func(time.Time, bool) gossiper.Message {
				return gossiper.Message{Name: name, AvailabilityZone: zone, Address: at, Incarnation: 1}
			}, func(time.Time, gossiper.Message) {}))
		}
		var group errgroup.Group
		for i, vm := range vms {
			others := map[string]netip.AddrPort{}
			for name, at := range seeds {
				if at != ports[i].at {
					others[name] = at
				}
			}
			vm.Seed(time.Now(), others)
			group.Go(func() error { return vm.Run(ctx) })
		}
		time.Sleep(10 * time.Second)
		test(NewWithT(t), h, vms, ports)
		cancel()
		NewWithT(t).Expect(group.Wait()).To(Succeed())
	})
}

func TestAllHearEachOther(t *testing.T) {
	for _, n := range []int{2, 9, 40} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			fleet(t, n, 3, func(g *WithT, _ *hub, vms []*gossiper.Gossiper, _ []*port) {
				for _, vm := range vms {
					g.Expect(vm.Alive(time.Now())).To(HaveLen(n - 1))
					expected, ok := vm.Expected(time.Now())
					g.Expect(ok).To(BeTrue())
					g.Expect(expected).To(BeZero())
				}
			})
		})
	}
}

func TestSilentVMIsNoticedAndComesBack(t *testing.T) {
	fleet(t, 5, 2, func(g *WithT, h *hub, vms []*gossiper.Gossiper, ports []*port) {
		h.mu.Lock()
		ports[4].cut = true
		h.mu.Unlock()
		time.Sleep(3 * time.Second)
		g.Expect(vms[0].Alive(time.Now())).To(HaveLen(3))
		g.Expect(vms[0].Members(time.Now())).To(HaveLen(4), "a silent VM still belongs to the fleet")
		h.mu.Lock()
		ports[4].cut = false
		h.mu.Unlock()
		time.Sleep(3 * time.Second)
		g.Expect(vms[0].Alive(time.Now())).To(HaveLen(4))
	})
}

// The messages of a VM in a large fleet grow with its availability zone, and a
// twelfth as fast with the rest.
func TestMessagesOfALargeFleet(t *testing.T) {
	fleet(t, 72, 6, func(g *WithT, h *hub, _ []*gossiper.Gossiper, _ []*port) {
		h.mu.Lock()
		before := h.sent
		h.mu.Unlock()
		time.Sleep(12 * time.Second)
		h.mu.Lock()
		perVM := float64(h.sent-before) / 72 / 12
		h.mu.Unlock()
		t.Logf("messages a second and VM: %.1f; each to each twice a second would be 142", perVM)
		g.Expect(perVM).To(BeNumerically("<=", 11*2+60.0/3+2))
	})
}
