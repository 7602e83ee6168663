package dispatcher

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/marigoldgauge/marigoldgauge/cataloguer"
	"github.com/marigoldgauge/marigoldgauge/observer"
	"github.com/marigoldgauge/marigoldgauge/timekeeper"
)

// Pools are created at their first use, and none after the Dispatcher was closed: its
// connections would stay open.
func TestPools(t *testing.T) {
	g := NewWithT(t)
	d := New(Dependencies{
		Observer: observer.New(func(string) time.Duration { return time.Millisecond }, time.Second), Clock: timekeeper.ClockFunc(time.Now),
	})
	a, b, c := observer.Instance{ID: "a", Group: "g"}, observer.Instance{ID: "b", Group: "g"}, observer.Instance{ID: "c", Group: "g"}
	d.SetInstances([]observer.Instance{a, b, c}, nil)
	g.Expect(d.PoolStats()).To(BeEmpty())
	g.Expect(d.pool("a")).NotTo(BeNil())
	g.Expect(d.pool("a")).To(BeIdenticalTo(d.pool("a")))
	g.Expect(d.PoolStats()).To(HaveLen(1))
	d.SetInstances(nil, []observer.Instance{b})
	g.Expect(d.pool("b")).To(BeNil())
	d.Close()
	g.Expect(d.pool("c")).To(BeNil())
}

// evenShares reserves the same number of connections to each instance.
type evenShares float64

func (s evenShares) Share(time.Time, string) float64 { return float64(s) }

// A change of a group applies to the pools of its instances, and a new share to all pools.
func TestBoundsFollowTheConfiguration(t *testing.T) {
	g := NewWithT(t)
	d := New(Dependencies{
		Observer: observer.New(func(string) time.Duration { return time.Millisecond }, time.Second), Clock: timekeeper.ClockFunc(time.Now), Shares: evenShares(2),
	})
	d.SetInstances([]observer.Instance{{ID: "a", Group: "g"}, {ID: "b", Group: "h"}}, nil)
	g.Expect(d.pool("a")).NotTo(BeNil())
	g.Expect(d.pool("b")).NotTo(BeNil())
	shares := func() []int { s := d.PoolStats(); return []int{s["a"].Share, s["b"].Share} }
	g.Expect(shares()).To(Equal([]int{1, 1}), "before the configuration is known")
	groups := []cataloguer.Group{{Name: "g", MaxConnections: 20}, {Name: "h", MaxConnections: 20}}
	c := cataloguer.New(1, 0, nil, groups, nil)
	changed, gone := c.GroupsSince(nil)
	d.SetGroups(c.Groups, changed, gone)
	g.Expect(shares()).To(Equal([]int{2, 2}))
	d.Shares = evenShares(3)
	later := cataloguer.New(2, 0, nil, []cataloguer.Group{{Name: "g", MaxConnections: 30}, groups[1]}, nil)
	changed, gone = later.GroupsSince(c)
	d.SetGroups(later.Groups, changed, gone)
	g.Expect(shares()).To(Equal([]int{3, 2}), "only the changed group")
	d.UpdateBounds()
	g.Expect(shares()).To(Equal([]int{3, 3}))
	last := cataloguer.New(3, 0, nil, groups[1:], nil)
	changed, gone = last.GroupsSince(later)
	d.SetGroups(last.Groups, changed, gone)
	g.Expect(shares()).To(Equal([]int{1, 3}), "a group that is gone")
	d.Close()
}
