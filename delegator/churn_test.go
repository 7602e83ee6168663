package delegator_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/marigoldgauge/marigoldgauge/delegator"
)

// changingFleet is a fleet that counts its changes.
type changingFleet struct {
	fleet
	changes uint64
}

func (f *changingFleet) Generation(time.Time) uint64 { return f.changes }

// groupConnections returns the connections of groups with different limits.
func groupConnections(groups int) map[string]float64 {
	out := map[string]float64{}
	for n := range groups {
		out[fmt.Sprintf("g-%d", n)] = float64(6 + 10*(n%9))
	}
	return out
}

// The holders that are kept while VMs join and go must be those of a fresh ranking:
// VMs that disagree on them open more connections than an instance accepts.
func TestHoldersAfterChanges(t *testing.T) {
	g := NewWithT(t)
	random := rand.New(rand.NewPCG(1, 2))
	connections := groupConnections(60)
	f := &changingFleet{fleet: fleet{self: 0, vms: 90, zones: 3, gone: map[int]bool{}}}
	kept := delegator.NewHolderSelector(name(0))
	kept.SetFleet(f)
	kept.SetConnections(connections)
	for step := range 200 {
		for range 1 + random.IntN(3) {
			n := 1 + random.IntN(f.vms-1)
			if f.gone[n] || len(f.gone) > 80 {
				delete(f.gone, n)
			} else {
				f.gone[n] = true
			}
		}
		f.changes++
		fresh := delegator.NewHolderSelector(name(0))
		fresh.SetFleet(f)
		fresh.SetConnections(connections)
		for group := range connections {
			if random.IntN(3) == 0 {
				continue
			}
			names, all := kept.Holders(start, group)
			wantNames, wantAll := fresh.Holders(start, group)
			g.Expect(all).To(Equal(wantAll), "step %d, %s", step, group)
			g.Expect(names).To(Equal(wantNames), "step %d, %s", step, group)
		}
	}
}

// While VMs restart one after the other, each VM divides the connections of all groups
// after each change.
func BenchmarkSharesAfterChange(b *testing.B) {
	for _, vms := range []int{300, 3700} {
		b.Run(fmt.Sprint(vms), func(b *testing.B) {
			connections := groupConnections(13 * min(vms, 370))
			f := &changingFleet{fleet: fleet{self: 0, vms: vms, zones: 6, gone: map[int]bool{}}}
			s := delegator.NewHolderSelector(name(0))
			s.SetFleet(f)
			s.SetConnections(connections)
			for b.Loop() {
				n := 1 + int(f.changes/2)%(vms-1)
				f.changes++
				if f.changes%2 == 1 {
					f.gone[n] = true
				} else {
					delete(f.gone, n)
				}
				for group := range connections {
					s.Share(start, group)
				}
			}
		})
	}
}
