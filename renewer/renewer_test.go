package renewer_test

import (
	"context"
	"fmt"
	"maps"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/marigoldgauge/marigoldgauge/gossiper"
	"github.com/marigoldgauge/marigoldgauge/leaser"
	"github.com/marigoldgauge/marigoldgauge/observer"
	"github.com/marigoldgauge/marigoldgauge/renewer"
	"github.com/marigoldgauge/marigoldgauge/timekeeper"
)

const group = "g"

// cluster is a set of VMs, some of them isolated, and the record in the store.
type cluster struct {
	mu     sync.Mutex
	record leaser.Record
	down   bool
	reads  int
	vms    []*vm
	group  errgroup.Group
}

// vm is one VM of the cluster.
type vm struct {
	// requests counts the requests that the VM has sent.
	requests atomic.Int64
	// receivedBytes counts the bytes of the requests to the VM, whether or not they arrive.
	receivedBytes atomic.Int64

	w        *cluster
	n        int
	isolated bool
	store    bool
	observer *observer.Observer
	voucher  *renewer.Renewer
}

func (v *vm) name() string { return fmt.Sprintf("vm-%d", v.n) }
func (v *vm) address() netip.AddrPort {
	return netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(v.n))
}

func (v *vm) Read(context.Context) (leaser.Record, time.Time, error) {
	asked := time.Now()
	time.Sleep(4 * time.Millisecond)
	v.w.mu.Lock()
	defer v.w.mu.Unlock()
	v.w.reads++
	if v.w.down || !v.store {
		return leaser.Record{}, asked, eris.New("store does not respond")
	}
	return v.w.record, asked, nil
}

func (v *vm) LearnRecord(time.Time, leaser.Record) {}

// peers returns the other VMs, or only the reachable ones of them.
func (v *vm) peers(reachable bool) []gossiper.Peer {
	v.w.mu.Lock()
	defer v.w.mu.Unlock()
	var out []gossiper.Peer
	for _, o := range v.w.vms {
		if o != v && (!reachable || (!o.isolated && !v.isolated)) {
			out = append(out, gossiper.Peer{Message: gossiper.Message{Name: o.name(), Address: o.address(), Incarnation: 1}})
		}
	}
	return out
}

func (v *vm) Alive(time.Time) []gossiper.Peer       { return v.peers(true) }
func (v *vm) AliveInZone(time.Time) []gossiper.Peer { return v.peers(true) }
func (v *vm) Members(time.Time) []gossiper.Peer     { return v.peers(false) }

func (v *vm) SendRequest(to netip.AddrPort, _ gossiper.Topic, request []byte) {
	v.requests.Add(1)
	o := v.w.vms[to.Port()]
	o.receivedBytes.Add(int64(len(request)))
	v.w.group.Go(func() error {
		time.Sleep(8 * time.Millisecond)
		if v.reaches(o) {
			response := o.voucher.HandleRequest(time.Now(), request)
			time.Sleep(8 * time.Millisecond)
			if v.reaches(o) {
				v.voucher.HandleResponse(time.Now(), response)
			}
		}
		return nil
	})
}

func (v *vm) reaches(o *vm) bool {
	v.w.mu.Lock()
	defer v.w.mu.Unlock()
	return !v.isolated && !o.isolated
}

// runCluster runs a test on n VMs that know the primary of term 1.
func runCluster(t *testing.T, n int, test func(g *WithT, w *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithCancel(t.Context())
		w := &cluster{}
		for i := range n {
			v := &vm{w: w, n: i, store: true, observer: observer.New(func(string) time.Duration { return time.Millisecond }, 7*time.Second)}
			v.voucher = renewer.New(renewer.Dependencies{Name: v.name(), Incarnation: 1, Observer: v.observer, Record: v, Fleet: v,
				Clock: timekeeper.ClockFunc(time.Now), Lease: observer.ViewLease})
			v.observer.UpdateInstances(time.Now(), []observer.Instance{{ID: "p", Group: group}, {ID: "r", Group: group}}, nil)
			v.observer.LearnPrimary(time.Now(), group, "p", 1)
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

// leaseHolders returns the number of VMs that treat the primary of term 1 as current.
func (w *cluster) leaseHolders() int {
	n := 0
	for _, v := range w.vms {
		if v.observer.Confirmed(group).After(time.Now()) {
			n++
		}
	}
	return n
}

// supersede writes to the record that term 1 ends, announces it from VM 0 and
// returns the duration of the announcement.
func (w *cluster) supersede(ctx context.Context, g *WithT) time.Duration {
	w.mu.Lock()
	w.record = leaser.Record{Holder: "vm-0", Token: 1, Writes: w.record.Writes + 1, Superseded: map[string]uint64{group: 1}}
	r := w.record
	w.mu.Unlock()
	began := time.Now()
	g.Expect(w.vms[0].voucher.Announce(ctx, began, r)).To(BeTrue())
	return time.Since(began)
}

func TestAllVMsHoldLeasesWithoutChanges(t *testing.T) {
	runCluster(t, 6, func(g *WithT, w *cluster) {
		for range 100 {
			g.Expect(w.leaseHolders()).To(Equal(6))
			time.Sleep(50 * time.Millisecond)
		}
	})
}

// Invariant: once a successor may accept writes, no VM treats the former primary as
// current, regardless of which VMs were isolated and when.
func TestNoLeaseRemainsAfterAnnouncement(t *testing.T) {
	tests := []struct {
		name  string
		setup func(w *cluster)
		// soon reports that the announcement does not wait until the lease expires.
		soon bool
	}{
		{"all reachable", func(*cluster) {}, true},
		{"one VM is isolated from the others", func(w *cluster) { w.vms[3].isolated = true }, false},
		{"one VM is isolated from the others and the store", func(w *cluster) { w.vms[3].isolated, w.vms[3].store = true, false }, false},
		{"all VMs except the announcer are isolated", func(w *cluster) {
			for _, v := range w.vms[1:] {
				v.isolated = true
			}
		}, false},
		{"the store is unavailable", func(w *cluster) { w.down = true }, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for delay := range 10 {
				runCluster(t, 5, func(g *WithT, w *cluster) {
					time.Sleep(time.Duration(delay) * 41 * time.Millisecond)
					w.mu.Lock()
					tt.setup(w)
					w.mu.Unlock()
					took := w.supersede(context.Background(), g)
					g.Expect(w.leaseHolders()).To(BeZero())
					if tt.soon {
						g.Expect(took).To(BeNumerically("<", 200*time.Millisecond))
					}
					for range 60 {
						time.Sleep(50 * time.Millisecond)
						g.Expect(w.leaseHolders()).To(BeZero())
					}
				})
			}
		})
	}
}

// The leases expire while the store is unavailable and are renewed once it is back.
func TestLeasesExpireWithoutStore(t *testing.T) {
	runCluster(t, 4, func(g *WithT, w *cluster) {
		w.mu.Lock()
		w.down = true
		w.mu.Unlock()
		time.Sleep(observer.ViewLease + time.Second)
		g.Expect(w.leaseHolders()).To(BeZero())
		w.mu.Lock()
		w.down = false
		w.mu.Unlock()
		time.Sleep(3 * time.Second)
		g.Expect(w.leaseHolders()).To(Equal(4))
	})
}

// Malformed datagrams are ignored.
func TestMalformedDatagrams(t *testing.T) {
	g := NewWithT(t)
	v := renewer.New(renewer.Dependencies{})
	g.Expect(v.HandleRequest(time.Now(), []byte{0xff, 1, 2})).To(BeNil())
	v.HandleResponse(time.Now(), []byte("garbage"))
}

// While the store does not respond, the VMs of a large fleet together read the
// record about as often as those of a small one. Soon after the store is back, all
// VMs know the record again.
func TestFewVMsReadDuringStoreOutage(t *testing.T) {
	const (
		outage = 20 * time.Second
		steps  = int(outage / (400 * time.Millisecond))
	)
	for _, vms := range []int{8, 72} {
		t.Run(fmt.Sprintf("%d VMs", vms), func(t *testing.T) {
			runCluster(t, vms, func(g *WithT, w *cluster) {
				g.Expect(w.leaseHolders()).To(Equal(vms))
				w.mu.Lock()
				w.down, w.reads = true, 0
				w.mu.Unlock()
				time.Sleep(outage)
				g.Expect(w.leaseHolders()).To(BeZero())
				w.mu.Lock()
				// The designated reader, two fallback readers and two VMs in turn read; one more
				// step is allowed at each end.
				g.Expect(w.reads).To(BeNumerically("<=", 5*(steps+2)))
				w.down = false
				w.mu.Unlock()
				time.Sleep(2 * time.Second)
				g.Expect(w.leaseHolders()).To(Equal(vms))
			})
		})
	}
}

// Guards against a message to each VM for each of many records that follow each other closely,
// as after the loss of an availability zone.
func TestAnnouncementsOfSuccessiveRecordsShareMessages(t *testing.T) {
	const vms, records = 6, 100
	runCluster(t, vms, func(g *WithT, w *cluster) {
		before := w.vms[0].requests.Load()
		began := time.Now()
		var group errgroup.Group
		for n := range records {
			r := leaser.Record{Holder: "vm-0", Token: 1, Writes: uint64(n + 1), Superseded: map[string]uint64{fmt.Sprint(n): 1}}
			group.Go(func() error {
				g.Expect(w.vms[0].voucher.Announce(context.Background(), time.Now(), r)).To(BeTrue())
				return nil
			})
			time.Sleep(10 * time.Millisecond)
		}
		g.Expect(group.Wait()).To(Succeed())
		g.Expect(time.Since(began)).To(BeNumerically("<", records*10*time.Millisecond+200*time.Millisecond))
		perVM := float64(w.vms[0].requests.Load()-before) / (vms - 1)
		t.Logf("%.1f messages per VM for %d records", perVM, records)
		g.Expect(perVM).To(BeNumerically("<=", 25))
		for _, v := range w.vms {
			g.Expect(v.voucher.Record().Writes).To(Equal(uint64(records)))
		}
	})
}

// Guards against changes of the record that are sent again and again to VMs that do not respond,
// as those of a lost availability zone, and grow with each replacement. A VM that responds again
// must learn of the last record before its leases have expired.
func TestSilentVMsAreNotSentTheRecord(t *testing.T) {
	const vms, silent, records = 6, 3, 100
	runCluster(t, vms, func(g *WithT, w *cluster) {
		w.mu.Lock()
		w.vms[silent].isolated = true
		w.mu.Unlock()
		r := leaser.Record{Holder: "vm-0", Token: 1, Superseded: map[string]uint64{}}
		var group errgroup.Group
		announce := func() {
			r.Writes++
			r.Superseded = maps.Clone(r.Superseded)
			r.Superseded[fmt.Sprintf("group-%d", r.Writes)] = 1
			began, announced := time.Now(), r
			group.Go(func() error {
				g.Expect(w.vms[0].voucher.Announce(context.Background(), began, announced)).To(BeTrue())
				return nil
			})
		}
		var before int64
		for n := range records {
			if n == records/5 {
				before = w.vms[silent].receivedBytes.Load()
			}
			announce()
			time.Sleep(50 * time.Millisecond)
		}
		bytes := w.vms[silent].receivedBytes.Load() - before
		t.Logf("%d bytes to the silent VM in 4 s", bytes)
		g.Expect(bytes).To(BeNumerically("<", 1000))
		w.mu.Lock()
		w.vms[silent].isolated = false
		w.mu.Unlock()
		announce()
		began := time.Now()
		time.Sleep(time.Second)
		g.Expect(w.vms[silent].voucher.Record().Writes).To(Equal(r.Writes))
		g.Expect(group.Wait()).To(Succeed())
		g.Expect(time.Since(began)).To(BeNumerically("<", observer.ViewLease))
	})
}
