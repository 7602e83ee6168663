package voucher_test

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/marigoldgauge/marigoldgauge/clocker"
	"github.com/marigoldgauge/marigoldgauge/gossiper"
	"github.com/marigoldgauge/marigoldgauge/leaser"
	"github.com/marigoldgauge/marigoldgauge/observer"
	"github.com/marigoldgauge/marigoldgauge/voucher"
)

const group = "g"

// world is some VMs, the record in the store, and the cuts between them.
type world struct {
	mu     sync.Mutex
	record leaser.Record
	down   bool
	looks  int
	vms    []*vm
	group  errgroup.Group
}

// vm is one VM of the world.
type vm struct {
	w        *world
	n        int
	cut      bool
	store    bool
	observer *observer.Observer
	voucher  *voucher.Voucher
}

func (v *vm) name() string { return fmt.Sprintf("vm-%d", v.n) }
func (v *vm) address() netip.AddrPort {
	return netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(v.n))
}

func (v *vm) Look(context.Context) (leaser.Record, time.Time, error) {
	asked := time.Now()
	time.Sleep(4 * time.Millisecond)
	v.w.mu.Lock()
	defer v.w.mu.Unlock()
	v.w.looks++
	if v.w.down || !v.store {
		return leaser.Record{}, asked, eris.New("no answer")
	}
	return v.w.record, asked, nil
}

func (v *vm) Heard(time.Time, leaser.Record) {}

// peers returns the other VMs, without those that can't be reached if reachable is asked for.
func (v *vm) peers(reachable bool) []gossiper.Peer {
	v.w.mu.Lock()
	defer v.w.mu.Unlock()
	var out []gossiper.Peer
	for _, o := range v.w.vms {
		if o != v && (!reachable || (!o.cut && !v.cut)) {
			out = append(out, gossiper.Peer{Message: gossiper.Message{Name: o.name(), Address: o.address(), Incarnation: 1}})
		}
	}
	return out
}

func (v *vm) Alive(time.Time) []gossiper.Peer   { return v.peers(true) }
func (v *vm) Near(time.Time) []gossiper.Peer    { return v.peers(true) }
func (v *vm) Members(time.Time) []gossiper.Peer { return v.peers(false) }

func (v *vm) Ask(to netip.AddrPort, _ gossiper.Topic, question []byte) {
	o := v.w.vms[to.Port()]
	v.w.group.Go(func() error {
		time.Sleep(8 * time.Millisecond)
		if v.reaches(o) {
			answer := o.voucher.Answer(time.Now(), question)
			time.Sleep(8 * time.Millisecond)
			if v.reaches(o) {
				v.voucher.Hear(time.Now(), answer)
			}
		}
		return nil
	})
}

func (v *vm) reaches(o *vm) bool {
	v.w.mu.Lock()
	defer v.w.mu.Unlock()
	return !v.cut && !o.cut
}

// play runs a test on n VMs that have heard of the primary of term 1.
func play(t *testing.T, n int, test func(g *WithT, w *world)) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithCancel(t.Context())
		w := &world{}
		for i := range n {
			v := &vm{w: w, n: i, store: true, observer: observer.New(func(string) time.Duration { return time.Millisecond }, 7*time.Second)}
			v.voucher = voucher.New(voucher.Parts{Name: v.name(), Incarnation: 1, Observer: v.observer, Record: v, Fleet: v,
				Clock: clocker.Func(time.Now), Lease: observer.ViewLease})
			v.observer.SetInstances(time.Now(), []observer.Instance{{ID: "p", Group: group}, {ID: "r", Group: group}})
			v.observer.Lead(time.Now(), group, "p", 1)
			w.vms = append(w.vms, v)
		}
		for _, v := range w.vms {
			w.group.Go(func() error { return v.voucher.Run(ctx) })
		}
		time.Sleep(5 * time.Second)
		test(g, w)
		cancel()
		g.Expect(w.group.Wait()).To(Succeed())
	})
}

// vouching returns the VMs that take the primary of term 1 for the present one.
func (w *world) vouching() int {
	n := 0
	for _, v := range w.vms {
		if v.observer.Confirmed(group).After(time.Now()) {
			n++
		}
	}
	return n
}

// supersede writes that term 1 ends and announces it from VM 0; it returns how long that took.
func (w *world) supersede(ctx context.Context, g *WithT) time.Duration {
	w.mu.Lock()
	w.record = leaser.Record{Holder: "vm-0", Token: 1, Turn: w.record.Turn + 1, Superseded: map[string]uint64{group: 1}}
	r := w.record
	w.mu.Unlock()
	began := time.Now()
	g.Expect(w.vms[0].voucher.Announce(ctx, began, r)).To(BeTrue())
	return time.Since(began)
}

func TestAllVouchWhileNothingChanges(t *testing.T) {
	play(t, 6, func(g *WithT, w *world) {
		for range 100 {
			g.Expect(w.vouching()).To(Equal(6))
			time.Sleep(50 * time.Millisecond)
		}
	})
}

// Invariant: once a successor may take writes, no VM takes the former primary
// for the present one, whoever was cut off when.
func TestNobodyVouchesAfterTheAnnouncement(t *testing.T) {
	tests := []struct {
		name   string
		before func(w *world)
		// soon is whether the announcement need not wait for the lease.
		soon bool
	}{
		{"all reachable", func(*world) {}, true},
		{"one VM is cut off from the others", func(w *world) { w.vms[3].cut = true }, false},
		{"one VM is cut off from the others and the store", func(w *world) { w.vms[3].cut, w.vms[3].store = true, false }, false},
		{"all but the announcer are cut off", func(w *world) {
			for _, v := range w.vms[1:] {
				v.cut = true
			}
		}, false},
		{"the store goes away", func(w *world) { w.down = true }, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for delay := range 10 {
				play(t, 5, func(g *WithT, w *world) {
					time.Sleep(time.Duration(delay) * 41 * time.Millisecond)
					w.mu.Lock()
					tt.before(w)
					w.mu.Unlock()
					took := w.supersede(context.Background(), g)
					g.Expect(w.vouching()).To(BeZero())
					if tt.soon {
						g.Expect(took).To(BeNumerically("<", 200*time.Millisecond))
					}
					for range 60 {
						time.Sleep(50 * time.Millisecond)
						g.Expect(w.vouching()).To(BeZero())
					}
				})
			}
		})
	}
}

// Without the store the leases run out; with it they are back.
func TestLeasesRunOutWithoutTheStore(t *testing.T) {
	play(t, 4, func(g *WithT, w *world) {
		w.mu.Lock()
		w.down = true
		w.mu.Unlock()
		time.Sleep(observer.ViewLease + time.Second)
		g.Expect(w.vouching()).To(BeZero())
		w.mu.Lock()
		w.down = false
		w.mu.Unlock()
		time.Sleep(3 * time.Second)
		g.Expect(w.vouching()).To(Equal(4))
	})
}

// A garbled datagram is passed over.
func TestGarbledDatagrams(t *testing.T) {
	g := NewWithT(t)
	v := voucher.New(voucher.Parts{})
	g.Expect(v.Answer(time.Now(), []byte{0xff, 1, 2})).To(BeNil())
	v.Hear(time.Now(), []byte("garbage"))
}

// While the store does not answer, a large fleet asks it about as often as a
// small one, and all know the record again soon after it is back.
func TestFewReadWhileTheStoreIsDown(t *testing.T) {
	const (
		outage = 20 * time.Second
		steps  = int(outage / (400 * time.Millisecond))
	)
	for _, vms := range []int{8, 72} {
		t.Run(fmt.Sprintf("%d VMs", vms), func(t *testing.T) {
			play(t, vms, func(g *WithT, w *world) {
				g.Expect(w.vouching()).To(Equal(vms))
				w.mu.Lock()
				w.down, w.looks = true, 0
				w.mu.Unlock()
				time.Sleep(outage)
				g.Expect(w.vouching()).To(BeZero())
				w.mu.Lock()
				// The designated reader, two more, and two by turns; one step more at each end.
				g.Expect(w.looks).To(BeNumerically("<=", 5*(steps+2)))
				w.down = false
				w.mu.Unlock()
				time.Sleep(2 * time.Second)
				g.Expect(w.vouching()).To(Equal(vms))
			})
		})
	}
}
