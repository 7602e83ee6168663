package borrower_test

import (
	"fmt"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"

	"github.com/marigoldgauge/marigoldgauge/borrower"
	"github.com/marigoldgauge/marigoldgauge/clocker"
	"github.com/marigoldgauge/marigoldgauge/gossiper"
	"github.com/marigoldgauge/marigoldgauge/limiter"
	"github.com/marigoldgauge/marigoldgauge/sharer"
)

const organisation = "o"

// vm is a VM that borrows and lends.
type vm struct {
	n        int
	others   []*vm
	large    bool
	silent   bool
	sharer   *sharer.Sharer
	borrower *borrower.Borrower
	group    errgroup.Group
}

// zone puts VM 2 into the region of VM 0.
func (v *vm) zone() string { return fmt.Sprintf("z-%d", v.n%2) }

// regionOf returns the region of an availability zone, one each.
func regionOf(zone string) string { return "r" + zone }

func (v *vm) name() string { return fmt.Sprintf("vm-%d", v.n) }

func (v *vm) Alive(time.Time) []gossiper.Peer {
	var out []gossiper.Peer
	for _, o := range v.others {
		out = append(out, gossiper.Peer{Message: gossiper.Message{Name: o.name(), AvailabilityZone: o.zone(), Address: netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(o.n))}})
	}
	return out
}

func (v *vm) Generation(time.Time) uint64 { return 1 }

func (v *vm) IsLarge() bool { return v.large }

func (v *vm) Ask(to netip.AddrPort, _ gossiper.Topic, question []byte) {
	for _, o := range v.others {
		if o.n == int(to.Port()) && !o.silent {
			v.group.Go(func() error {
				time.Sleep(8 * time.Millisecond)
				answer := o.borrower.Answer(time.Now(), question)
				time.Sleep(8 * time.Millisecond)
				v.borrower.Hear(time.Now(), answer)
				v.borrower.Hear(time.Now(), answer) // Datagrams may come twice.
				return nil
			})
		}
	}
}

// newFleet returns three VMs that agree on the lender of the organisation.
func newFleet() []*vm { return fleetOf(false) }

// fleetOf returns such VMs, as if they were many if large.
func fleetOf(large bool) []*vm {
	var vms []*vm
	for n := range 3 {
		v := &vm{n: n, large: large, sharer: sharer.New()}
		v.borrower = borrower.New(v.name(), v.zone(), regionOf, v.sharer, clocker.Func(time.Now))
		v.borrower.Join(v)
		vms = append(vms, v)
	}
	for _, v := range vms {
		for _, o := range vms {
			if o != v {
				v.others = append(v.others, o)
			}
		}
	}
	for _, v := range vms {
		now := time.Now()
		v.sharer.SetLimits(now, map[string]limiter.Limit{organisation: {Rate: 100, Burst: 10}})
		v.sharer.SetPeers(now, []sharer.Peer{{}, {}}, 0, 1, large, func(o string) float64 { return v.borrower.Lends(now, o) })
	}
	return vms
}

func TestOneVMLends(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		vms := newFleet()
		time.Sleep(time.Second)
		lenders := 0
		for _, v := range vms {
			if v.borrower.Lends(time.Now(), organisation) > 0 {
				lenders++
			}
			_, ok := v.borrower.Borrow(t.Context(), organisation, 0)
			g.Expect(ok).To(BeTrue())
			g.Expect(v.group.Wait()).To(Succeed())
		}
		g.Expect(lenders).To(Equal(1))
	})
}

// In a large fleet a VM of each of the two regions lends a half: the whole rate can be used, never
// more than it, and half of it while one of them does not answer.
func TestAVMOfEachRegionLendsInALargeFleet(t *testing.T) {
	tests := []struct {
		name   string
		silent bool
		least  int
	}{{"both answer", false, 95}, {"one is silent", true, 45}}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				vms := fleetOf(true)
				var asker *vm
				lenders := 0
				for _, v := range vms {
					if v.borrower.Lends(time.Now(), organisation) == 0 {
						asker = v
						continue
					}
					lenders++
					v.silent = tt.silent && lenders == 1
				}
				g.Expect(lenders).To(Equal(2))
				time.Sleep(time.Second)
				lent := 0
				for end := time.Now().Add(10 * time.Second); time.Now().Before(end); {
					wait, ok := asker.borrower.Borrow(t.Context(), organisation, 20*time.Millisecond)
					if ok {
						lent++
					}
					time.Sleep(max(wait, time.Millisecond))
					g.Expect(asker.group.Wait()).To(Succeed())
				}
				g.Expect(lent).To(BeNumerically(">=", tt.least))
				g.Expect(lent).To(BeNumerically("<=", 100*10+10))
			})
		})
	}
}

func TestSilentLender(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		vms := newFleet()
		time.Sleep(time.Second)
		for _, v := range vms {
			v.silent = v.borrower.Lends(time.Now(), organisation) > 0
		}
		for _, v := range vms {
			if v.silent {
				continue
			}
			began := time.Now()
			_, ok := v.borrower.Borrow(t.Context(), organisation, time.Second)
			g.Expect(ok).To(BeFalse())
			g.Expect(time.Since(began)).To(BeNumerically("<=", 40*time.Millisecond))
		}
	})
}

func TestGarbledDatagrams(t *testing.T) {
	g := NewWithT(t)
	b := borrower.New("vm", "z", regionOf, sharer.New(), clocker.Func(time.Now))
	g.Expect(b.Answer(time.Now(), []byte{0xff})).To(BeNil())
	b.Hear(time.Now(), []byte("garbage"))
}
