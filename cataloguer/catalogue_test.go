package cataloguer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/marigoldgauge/marigoldgauge/cataloguer"
)

// What changed since an earlier Catalogue is exactly what differs, over several versions
// too: a component that misses a change keeps an old limit.
func TestChangesSinceAnEarlierCatalogue(t *testing.T) {
	g := NewWithT(t)
	r := rand.New(rand.NewPCG(1, 1))
	now := map[string]cataloguer.Group{}
	c := cataloguer.New(1, 0, nil, nil, nil)
	// The first changes are those since no Catalogue at all.
	var earlier *cataloguer.Catalogue
	known := map[string]cataloguer.Group{}
	for version := range uint64(300) {
		var d cataloguer.Difference[cataloguer.Group]
		for range r.IntN(4) {
			name := fmt.Sprintf("g-%d", r.IntN(1000))
			if old, ok := now[name]; ok {
				d.Removed = append(d.Removed, old)
				delete(now, name)
			}
			if r.IntN(3) > 0 {
				now[name] = cataloguer.Group{Name: name, MaxConnections: r.IntN(3)}
				d.Added = append(d.Added, now[name])
			}
		}
		d.Total = len(now)
		// A group that was added and removed in the same step is in the difference, which
		// then does not match the total.
		next, ok := c.With(version+2, 0, cataloguer.Difference[cataloguer.Route]{}, d, cataloguer.Difference[cataloguer.Organisation]{})
		if !ok {
			var all []cataloguer.Group
			for _, v := range now {
				all = append(all, v)
			}
			next = cataloguer.New(version+2, 0, nil, all, nil)
		}
		c = next
		if r.IntN(3) > 0 {
			continue
		}
		changed, removed := c.GroupsSince(earlier)
		for name, v := range changed {
			g.Expect(known[name]).NotTo(Equal(v))
			known[name] = v
		}
		for _, name := range removed {
			g.Expect(known).To(HaveKey(name))
			delete(known, name)
		}
		g.Expect(known).To(Equal(now))
		earlier = c
	}
}
