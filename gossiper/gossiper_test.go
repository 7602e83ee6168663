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

	"github.com/marigoldgauge/marigoldgauge/accountant"
	"github.com/marigoldgauge/marigoldgauge/gossiper"
	"github.com/marigoldgauge/marigoldgauge/timekeeper"
)

// hub delivers datagrams between VMs.
type hub struct {
	mu    sync.Mutex
	ports map[netip.AddrPort]*port
	sent  int
	bytes int
}

// datagram is a message and its sender.
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
	// last is the last message received.
	last []byte
	// bytes counts what was sent and received.
	bytes int
}

func (p *port) Send(to netip.AddrPort, b []byte) error {
	p.h.mu.Lock()
	o := p.h.ports[to]
	p.h.sent++
	p.h.bytes += len(b)
	p.bytes += len(b)
	cut := p.cut || o == nil || o.cut
	p.h.mu.Unlock()
	if cut {
		return nil
	}
	select {
	case o.in <- datagram{from: p.at, body: append([]byte(nil), b...)}:
		p.h.mu.Lock()
		o.last = append([]byte(nil), b...)
		o.bytes += len(b)
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

// counts returns the number of messages and bytes sent so far.
func (h *hub) counts() (messages, bytes int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.sent, h.bytes
}

// traffic returns the bytes that each VM has sent and received so far.
func (h *hub) traffic(ports []*port) []int {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make([]int, len(ports))
	for n, p := range ports {
		out[n] = p.bytes
	}
	return out
}

// last returns the last message that a VM received.
func (h *hub) last(at netip.AddrPort) []byte {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ports[at].last
}

// cut disconnects or reconnects some VMs.
func (h *hub) cut(ports []*port, which []int, cut bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, n := range which {
		ports[n].cut = cut
	}
}

// changeTracker records which VMs have received a change of the group "news".
type changeTracker struct {
	mu    sync.Mutex
	known map[int]bool
	// lost reports that a VM cannot reach the primary.
	lost func(n int) bool
	// dated and undated count the messages with and without a composition time, and
	// tooYoung those whose composition time is too late.
	dated, undated, tooYoung int
}

// setKnown makes a VM know the change.
func (f *changeTracker) setKnown(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.known[n] = true
}

// datedCounts returns the numbers of dated, undated and too young messages.
func (f *changeTracker) datedCounts() (dated, undated, tooYoung int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.dated, f.undated, f.tooYoung
}

// count returns the number of VMs that know the change.
func (f *changeTracker) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.known)
}

// groups returns what a VM sends about primaries.
func (f *changeTracker) groups(n int) []gossiper.GroupStatus {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []gossiper.GroupStatus
	if f.known[n] {
		out = append(out, gossiper.GroupStatus{Group: "news", Primary: "i-1", Term: 2})
	}
	if f.lost != nil {
		out = append(out, gossiper.GroupStatus{Group: "db", Primary: "i-2", Term: 3, Unreachable: f.lost(n), Reachable: !f.lost(n)})
	}
	return out
}

// receive handles a message received by a VM and reports whether the change was new to it.
func (f *changeTracker) receive(n int, m gossiper.Message) bool {
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
	changed := false
	for _, g := range m.Groups {
		if g.Group == "news" && !f.known[n] {
			changed, f.known[n] = true, true
		}
	}
	return changed
}

// fleet starts n VMs in the given number of availability zones and runs test on them.
func fleet(t *testing.T, n, zones int, test func(g *WithT, h *hub, vms []*gossiper.Gossiper, ports []*port)) {
	fleetWith(t, n, zones, &changeTracker{known: map[int]bool{}}, test)
}

// fleetWith does the same with VMs whose messages carry the groups of f.
func fleetWith(t *testing.T, n, zones int, f *changeTracker, test func(g *WithT, h *hub, vms []*gossiper.Gossiper, ports []*port)) {
	fleetOn(t, n, zones, f, func(_ int, p *port) gossiper.Transport { return p }, test)
}

// fleetOn does the same with the transports that wrap returns for the VMs.
func fleetOn(t *testing.T, n, zones int, f *changeTracker, wrap func(n int, p *port) gossiper.Transport, test func(g *WithT, h *hub, vms []*gossiper.Gossiper, ports []*port)) {
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
			vms = append(vms, gossiper.New(wrap(i, p), timekeeper.ClockFunc(time.Now), accountant.New(), name, zone, func(time.Time, gossiper.Audience) gossiper.Message {
				// The version holds the time at which the message was composed.
				return gossiper.Message{Name: name, AvailabilityZone: zone, Address: at, Incarnation: 1, Groups: f.groups(i), Version: uint64(time.Now().UnixNano())}
			}, func(_ time.Time, m gossiper.Message) {
				if f.receive(i, m) {
					vms[i].SendNow()
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
			vm.SetSeeds(time.Now(), others)
			group.Go(func() error { return vm.Run(ctx) })
		}
		time.Sleep(10 * time.Second)
		test(NewWithT(t), h, vms, ports)
		cancel()
		NewWithT(t).Expect(group.Wait()).To(Succeed())
	})
}

func TestAllVMsReceiveEachOthersMessages(t *testing.T) {
	for _, n := range []int{2, 9, 40} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			fleet(t, n, 3, func(g *WithT, _ *hub, vms []*gossiper.Gossiper, _ []*port) {
				for _, vm := range vms {
					g.Expect(vm.Alive(time.Now())).To(HaveLen(n - 1))
					expected, ok := vm.ExpectedVMs(time.Now())
					g.Expect(ok).To(BeTrue())
					g.Expect(expected).To(BeZero())
				}
			})
		})
	}
}

func TestSilentVMIsDetectedAndReturns(t *testing.T) {
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
