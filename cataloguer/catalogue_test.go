package cataloguer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/marigoldgauge/marigoldgauge/cataloguer"
	"github.com/marigoldgauge/marigoldgauge/limiter"
)

// group returns a group with a number of connections.
func group(name string, connections int) cataloguer.Group {
	return cataloguer.Group{Name: name, MaxConnections: connections}
}

// What changed since an earlier Catalogue is exactly what differs, over several versions
// too: a component that misses a change keeps an old limit.
func TestChangesSinceAnEarlierCatalogue(t *testing.T) {
	g := NewWithT(t)
	r := rand.New(rand.NewPCG(1, 1))
	now := map[string]cataloguer.Group{}
	c := cataloguer.New(1, 0, nil, nil, nil)
	changed, removed := c.GroupsSince(nil)
	g.Expect(changed).To(BeEmpty())
	g.Expect(removed).To(BeEmpty())
	earlier, known := c, map[string]cataloguer.Group{}
	for version := range uint64(300) {
		var d cataloguer.Difference[cataloguer.Group]
		for range r.IntN(4) {
			name := fmt.Sprintf("g-%d", r.IntN(1000))
			if old, ok := now[name]; ok {
				d.Removed = append(d.Removed, old)
				delete(now, name)
			}
			if r.IntN(3) > 0 {
				now[name] = group(name, r.IntN(3))
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

// Entries with the same name, and organisations that share a key, are not indexed by
// differences: the last one in the order of the configuration is in force.
func TestSharedNamesAreNotIndexedByDifferences(t *testing.T) {
	organisation := func(name string, keys ...string) cataloguer.Organisation {
		return cataloguer.Organisation{Name: name, Keys: keys, Limit: limiter.Limit{Rate: 1}}
	}
	a, b := organisation("a", "k", "l"), organisation("b", "m")
	c := cataloguer.New(1, 0, nil, nil, []cataloguer.Organisation{a, b})
	tests := []struct {
		name string
		d    cataloguer.Difference[cataloguer.Organisation]
		ok   bool
		// owner is the organisation of the key "k" afterwards.
		owner string
	}{
		{"none", cataloguer.Difference[cataloguer.Organisation]{Total: 2}, true, "a"},
		{"another key", cataloguer.Difference[cataloguer.Organisation]{Removed: []cataloguer.Organisation{b}, Added: []cataloguer.Organisation{organisation("b", "n")}, Total: 2}, true, "a"},
		{"key moved", cataloguer.Difference[cataloguer.Organisation]{Removed: []cataloguer.Organisation{a, b}, Added: []cataloguer.Organisation{organisation("a", "l"), organisation("b", "k")}, Total: 2}, true, "b"},
		{"key shared", cataloguer.Difference[cataloguer.Organisation]{Removed: []cataloguer.Organisation{b}, Added: []cataloguer.Organisation{organisation("b", "k")}, Total: 2}, false, ""},
		{"name shared", cataloguer.Difference[cataloguer.Organisation]{Added: []cataloguer.Organisation{organisation("b", "n")}, Total: 3}, false, ""},
		{"gone", cataloguer.Difference[cataloguer.Organisation]{Removed: []cataloguer.Organisation{a}, Total: 1}, true, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := NewWithT(t)
			next, ok := c.With(2, 0, cataloguer.Difference[cataloguer.Route]{}, cataloguer.Difference[cataloguer.Group]{}, tt.d)
			g.Expect(ok).To(Equal(tt.ok))
			if ok {
				o, _ := next.OrganisationOf("k")
				g.Expect(o.Name).To(Equal(tt.owner))
			}
			o, _ := c.OrganisationOf("k")
			g.Expect(o.Name).To(Equal("a"), "the earlier Catalogue was modified")
		})
	}
}
