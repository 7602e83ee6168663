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

// datagram is a message with its sender.
type datagram struct {
	from netip.AddrPort
	body []byte
}

// port is the transport of one VM.
type port struct {
	h    *hub
	at   netip.AddrPort
	in   chan datagram
	done chan struct{}
	once sync.Once
	cut  bool
	// last is the last message that came.
	last []byte
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
	case o.in <- datagram{from: p.at, body: append([]byte(nil), b...)}:
		p.h.mu.Lock()
		o.last = append([]byte(nil), b...)
		p.h.mu.Unlock()
	default: // The queue is full; datagrams get lost.
	}
	return nil
}

func (p *port) Receive(b []byte) (int, netip.AddrPort, error) {
	select {
	case m := <-p.in:
		return copy(b, m.body), m.from, nil
	case <-p.done:
		return 0, netip.AddrPort{}, net.ErrClosed
	}
}

func (p *port) Close() error {
	p.once.Do(func() { close(p.done) })
	return nil
}

// counts returns what was sent so far.
func (h *hub) counts() (messages, bytes int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.sent, h.bytes
}

// last returns the last message that came to a VM.
func (h *hub) last(at netip.AddrPort) []byte {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ports[at].last
}

// cut cuts some VMs off, or lets them back.
func (h *hub) cut(ports []*port, which []int, cut bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, n := range which {
		ports[n].cut = cut
	}
}

// spreading is news that spread through a fleet.
type spreading struct {
	mu    sync.Mutex
	heard map[int]bool
	// lost reports that a VM does not reach the primary.
	lost func(n int) bool
	// dated and undated count messages, tooYoung those that seemed younger than they were.
	dated, undated, tooYoung int
}

// learn lets a VM know of the news.
func (f *spreading) learn(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.heard[n] = true
}

// dates returns how many messages were dated, were not, and seemed too young.
func (f *spreading) dates() (dated, undated, tooYoung int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.dated, f.undated, f.tooYoung
}

// count returns the number of VMs that know of the news.
func (f *spreading) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.heard)
}

// groups returns what a VM tells of primaries.
func (f *spreading) groups(n int) []gossiper.GroupNews {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []gossiper.GroupNews
	if f.heard[n] {
		out = append(out, gossiper.GroupNews{Group: "news", Primary: "i-1", Term: 2})
	}
	if f.lost != nil {
		out = append(out, gossiper.GroupNews{Group: "db", Primary: "i-2", Term: 3, Unreached: f.lost(n), Reached: !f.lost(n)})
	}
	return out
}

// hear takes a message at a VM and reports whether it brought the news.
func (f *spreading) hear(n int, m gossiper.Message) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch written := time.Unix(0, int64(m.Version)); {
	case m.Composed.IsZero():
		f.undated++
	case m.Composed.After(written):
		f.tooYoung++
	default:
		f.dated++
	}
	news := false
	for _, g := range m.Groups {
		if g.Group == "news" && !f.heard[n] {
			news, f.heard[n] = true, true
		}
	}
	return news
}

// fleet starts n VMs in zones availability zones and plays a test.
func fleet(t *testing.T, n, zones int, test func(g *WithT, h *hub, vms []*gossiper.Gossiper, ports []*port)) {
	fleetWith(t, n, zones, &spreading{heard: map[int]bool{}}, test)
}

// fleetWith does so on VMs that tell news.
func fleetWith(t *testing.T, n, zones int, f *spreading, test func(g *WithT, h *hub, vms []*gossiper.Gossiper, ports []*port)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		h := &hub{ports: map[netip.AddrPort]*port{}}
		var vms []*gossiper.Gossiper
		var ports []*port
		seeds := map[string]gossiper.Seed{}
		for i := range n {
			at := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i / 250), byte(i%250 + 1)}), 7560)
			p := &port{h: h, at: at, in: make(chan datagram, 1000), done: make(chan struct{})}
			h.ports[at] = p
			name, zone := fmt.Sprintf("vm-%d", i), fmt.Sprintf("z-%d", i%zones)
			seeds[name] = gossiper.Seed{Address: at, AvailabilityZone: zone}
			ports = append(ports, p)
			vms = append(vms, gossiper.New(p, clocker.Func(time.Now), name, zone, func(time.Time, gossiper.Audience) gossiper.Message {
				// The version carries the time at which the message was written.
				return gossiper.Message{Name: name, AvailabilityZone: zone, Address: at, Incarnation: 1, Groups: f.groups(i), Version: uint64(time.Now().UnixNano())}
			}, func(_ time.Time, m gossiper.Message) {
				if f.hear(i, m) {
					vms[i].Hurry()
				}
			}))
		}
		var group errgroup.Group
		for i, vm := range vms {
			others := map[string]gossiper.Seed{}
			for name, s := range seeds {
				if s.Address != ports[i].at {
					others[name] = s
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
