package cataloguer_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/marigoldgauge/marigoldgauge/cataloguer"
)

func TestHolderOnlyMovesForward(t *testing.T) {
	g := NewWithT(t)
	h := cataloguer.NewHolder()
	g.Expect(h.Version()).To(BeZero())
	version := func(n uint64) *cataloguer.Catalogue { return cataloguer.New(n, 0, nil, nil, nil) }
	for _, step := range []struct {
		version uint64
		taken   bool
	}{{4, true}, {4, false}, {3, false}, {9, true}, {8, false}} {
		changed := h.Changed()
		g.Expect(h.Take(version(step.version))).To(Equal(step.taken))
		if step.taken {
			g.Expect(changed).To(BeClosed())
			g.Expect(h.Version()).To(Equal(step.version))
		}
	}
	g.Expect(h.Version()).To(BeEquivalentTo(9))
}
