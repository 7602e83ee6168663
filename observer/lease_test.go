package observer_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/marigoldgauge/marigoldgauge/modeller"
	"github.com/marigoldgauge/marigoldgauge/observer"
	"github.com/marigoldgauge/marigoldgauge/tracker"
)

// leaseCluster is an Observer of several groups with one instance each.
type leaseCluster struct {
	*observer.Observer
	instances []observer.Instance
}

// newLeaseCluster returns a leaseCluster whose groups have a primary in term 1.
func newLeaseCluster(groups int) *leaseCluster {
	c := &leaseCluster{Observer: observer.New(func(string) time.Duration { return time.Millisecond }, time.Second)}
	for n := range groups {
		c.instances = append(c.instances, observer.Instance{ID: fmt.Sprintf("i-%d", n), Group: fmt.Sprintf("g-%d", n), Leads: true})
	}
	c.UpdateInstances(start, c.instances, nil)
	for _, i := range c.instances {
		c.lead(start, i, 1)
	}
	return c
}

// lead makes an instance report that it leads a term.
func (c *leaseCluster) lead(now time.Time, i observer.Instance, term uint64) {
	c.ObserveStatus(now, now, i, modeller.InstanceStatus{IsPrimary: true, Term: term, Received: tracker.Position{Term: term, Offset: 1}})
}

// A group that is used only now and then must have the same lease and accept writes as
// one that is used after each renewal. Otherwise a VM could treat a superseded primary as
// current.
func TestLeaseOfRarelyUsedGroup(t *testing.T) {
	for seed := range uint64(300) {
		g := NewWithT(t)
		r := rand.New(rand.NewPCG(seed, 1))
		often, rarely := newLeaseCluster(3), newLeaseCluster(3)
		now, record := start, observer.LeaseRecord{Version: 1, Superseded: map[string]uint64{}, Opened: map[string]uint64{}}
		for range 60 {
			now = now.Add(time.Duration(r.IntN(400)) * time.Millisecond)
			i := often.instances[r.IntN(3)]
			switch r.IntN(6) {
			case 0:
				// Terms in the record only increase, and a superseded one may be withdrawn.
				superseded, opened := maps.Clone(record.Superseded), maps.Clone(record.Opened)
				switch group := often.instances[r.IntN(3)].Group; r.IntN(3) {
				case 0:
					superseded[group] += r.Uint64N(2)
				case 1:
					opened[group] += r.Uint64N(2)
				default:
					delete(superseded, group)
				}
				record = observer.LeaseRecord{Version: record.Version + 1, Superseded: superseded, Opened: opened}
			case 1:
				term := 1 + r.Uint64N(4)
				often.lead(now, i, term)
				rarely.lead(now, i, term)
			case 2:
				often.RevokePrimaryLeases(now, record.Superseded)
				rarely.RevokePrimaryLeases(now, record.Superseded)
			default:
				asOf := now.Add(-time.Duration(r.IntN(1000)) * time.Millisecond)
				for _, o := range []*leaseCluster{often, rarely} {
					o.RenewPrimaryLeases(now, asOf, asOf.Add(2*time.Second), record)
				}
			}
			for _, i := range often.instances {
				confirmed, open := often.Confirmed(i.Group), often.WritesOpen(now, i.Group)
				if r.IntN(8) == 0 {
					g.Expect(rarely.Confirmed(i.Group)).To(Equal(confirmed), "seed %d, %s", seed, i.Group)
					g.Expect(rarely.WritesOpen(now, i.Group)).To(Equal(open), "seed %d, %s", seed, i.Group)
				}
			}
		}
	}
}

// A record that names the primary as superseded ends its lease at once, also if the group
// was not used since the lease began, or if another record had the same version.
func TestSupersededPrimaryHasNoLease(t *testing.T) {
	for _, later := range []observer.LeaseRecord{{Version: 2}, {Version: 1, Write: 7}} {
		g := NewWithT(t)
		c := newLeaseCluster(2)
		c.RenewPrimaryLeases(start, start, start.Add(2*time.Second), observer.LeaseRecord{Version: 1})
		now := start.Add(time.Second)
		later.Superseded = map[string]uint64{"g-0": 1}
		c.RenewPrimaryLeases(now, now, now.Add(2*time.Second), later)
		g.Expect(c.Confirmed("g-0")).To(Equal(now))
		g.Expect(c.Confirmed("g-1")).To(Equal(now.Add(2 * time.Second)))
	}
}

// A unit of work that waits for the confirmation of a primary is woken by the renewal.
func TestRenewalWakesWaitingUnits(t *testing.T) {
	g := NewWithT(t)
	c := newLeaseCluster(1)
	changed := c.Changed("g-0")
	c.RenewPrimaryLeases(start, start, start.Add(2*time.Second), observer.LeaseRecord{Version: 1})
	g.Expect(changed).To(BeClosed())
}

// Views of a large fleet must not visit groups to which nothing happens, and must not miss
// one whose primary changes, is lost, leaves or is superseded afterwards.
func TestActivePrimaryViews(t *testing.T) {
	tests := []struct {
		name    string
		happens func(now time.Time, c *leaseCluster)
		want    []string
	}{
		{"nothing", func(time.Time, *leaseCluster) {}, nil},
		{"no response", func(now time.Time, c *leaseCluster) {
			c.BeginStatement(c.instances[1])
			c.RecordFailure(now, c.instances[1])
		}, []string{"g-1"}},
		{"leaves", func(now time.Time, c *leaseCluster) {
			c.instances[2].Leaving = true
			c.UpdateInstances(now, c.instances[2:3], nil)
		}, []string{"g-2"}},
		{"new primary", func(now time.Time, c *leaseCluster) { c.LearnPrimary(now, "g-0", "x", 2) }, []string{"g-0"}},
		{"superseded", func(now time.Time, c *leaseCluster) {
			c.RenewPrimaryLeases(now, now, now, observer.LeaseRecord{Version: 9, Superseded: map[string]uint64{"g-1": 1, "g-2": 0}})
		}, []string{"g-1"}},
		{"removed", func(now time.Time, c *leaseCluster) { c.UpdateInstances(now, nil, []string{"i-0"}) }, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := NewWithT(t)
			c, visited := newLeaseCluster(3), []string{}
			all := func(v *observer.PrimaryView) bool { visited = append(visited, v.Group); return true }
			g.Expect(c.ActivePrimaryViews(start, nil, all)).To(HaveLen(3))
			now := start.Add(2 * observer.ActivePeriod)
			c.ActivePrimaryViews(now, nil, all)
			tt.happens(now, c)
			for _, age := range []time.Duration{0, time.Millisecond} {
				c.ActivePrimaryViews(now.Add(age), nil, all)
			}
			visited = visited[:0]
			c.ActivePrimaryViews(now.Add(2*time.Millisecond), nil, all)
			g.Expect(visited).To(ConsistOf(tt.want))
			g.Expect(c.ActivePrimaryViews(now, map[string]bool{"g-2": true}, all)).To(ContainElement(HaveField("Group", "g-2")))
		})
	}
}
