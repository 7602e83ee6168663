package delegator_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/marigoldgauge/marigoldgauge/connector"
	"github.com/marigoldgauge/marigoldgauge/delegator"
	"github.com/marigoldgauge/marigoldgauge/gossiper"
)

// start is the start time of each test.
var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// fleet is one VM's view of a fleet.
type fleet struct {
	self, vms, zones int
	gone             map[int]bool
}

// name returns the name of a VM.
func name(n int) string { return fmt.Sprintf("vm-%d", n) }

func (f *fleet) AliveInZone(time.Time) []gossiper.Peer {
	var out []gossiper.Peer
	for n := range f.vms {
		if n != f.self && n%f.zones == f.self%f.zones && !f.gone[n] {
			out = append(out, gossiper.Peer{Message: gossiper.Message{Name: name(n), Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n / 256), byte(n)}), 7000)}})
		}
	}
	return out
}

func (f *fleet) Generation(time.Time) uint64 { return uint64(len(f.gone)) }

func (f *fleet) FleetSize(time.Time) (int, int) { return f.vms - len(f.gone), f.zones }

// selectors returns the holder selector of each VM of a fleet.
func selectors(vms, zones, maxConnections int, gone map[int]bool) map[int]*delegator.HolderSelector {
	out := map[int]*delegator.HolderSelector{}
	for n := range vms {
		if gone[n] {
			continue
		}
		r := delegator.NewHolderSelector(name(n))
		r.SetFleet(&fleet{self: n, vms: vms, zones: zones, gone: gone})
		r.SetConnections(map[string]float64{"db": connector.UsableConnections(maxConnections)})
		out[n] = r
	}
	return out
}

// After an outage of all VMs an instance still counts their idle connections.
// The reserved shares must leave the restarted VMs enough connections for as many
// statements as the instance runs at a time, even with more VMs than connections.
func TestSharesLeaveConnectionsForRestartedVMs(t *testing.T) {
	const slots = 3
	tests := []struct {
		name                       string
		maxConnections, vms, zones int
		spare                      int
	}{
		{"campusweg", 21, 8, 3, 2 * slots},
		{"lepidlo", 46, 9, 3, 2 * slots},
		{"lepidlo grown", 255, 76, 6, 2 * slots},
		{"campusweg grown", 74, 71, 6, 2 * slots},
		{"bond registry grown", 53, 71, 6, 2 * slots},
		{"large", 180, 195, 6, 2 * slots},
		{"one VM", 9, 1, 1, slots},
		{"more VMs than connections", 10, 40, 2, slots},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := NewWithT(t)
			sum := 0
			for _, r := range selectors(tt.vms, tt.zones, tt.maxConnections, nil) {
				sum += connector.NewBounds(tt.maxConnections, r.Share(start, "db")).Share
			}
			g.Expect(sum).To(BeNumerically(">=", 1))
			g.Expect(tt.maxConnections - sum).To(BeNumerically(">=", tt.spare))
		})
	}
}

// All VMs of an availability zone select the same holders, and a holder that is
// gone is replaced at once.
func TestVMsAgreeOnHolders(t *testing.T) {
	g := NewWithT(t)
	var first []string
	for n, r := range selectors(71, 6, 53, nil) {
		names, all := r.Holders(start, "db")
		g.Expect(all).To(BeFalse())
		g.Expect(names).NotTo(BeEmpty())
		if n%6 == 0 {
			if first == nil {
				first = names
			}
			g.Expect(names).To(Equal(first))
		}
	}
	var dead int
	_, err := fmt.Sscanf(first[0], "vm-%d", &dead)
	g.Expect(err).NotTo(HaveOccurred())
	for n, r := range selectors(71, 6, 53, map[int]bool{dead: true}) {
		if n%6 == 0 {
			names, _ := r.Holders(start, "db")
			g.Expect(names).NotTo(ContainElement(first[0]))
			g.Expect(names).NotTo(BeEmpty())
		}
	}
}

// In a small fleet every VM holds connections itself.
func TestAllVMsOfASmallFleetHoldConnections(t *testing.T) {
	g := NewWithT(t)
	for _, r := range selectors(9, 3, 21, nil) {
		_, all := r.Holders(start, "db")
		g.Expect(all).To(BeTrue())
	}
}

// A change of the connections of one group is in force at once, and the others keep theirs.
func TestChangeOfConnections(t *testing.T) {
	g := NewWithT(t)
	r := selectors(60, 3, 21, nil)[0]
	r.SetConnections(map[string]float64{"other": 12})
	before, _ := r.Holders(start, "db")
	other, _ := r.Holders(start, "other")
	r.SetConnections(map[string]float64{"db": 48})
	after, _ := r.Holders(start, "db")
	g.Expect(len(after)).To(BeNumerically(">", len(before)))
	g.Expect(r.Holders(start, "other")).To(Equal(other))
	r.SetConnections(nil, "db")
	_, all := r.Holders(start, "db")
	g.Expect(all).To(BeTrue())
	g.Expect(r.Share(start, "db")).To(BeZero())
}
