package cataloguer_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/marigoldgauge/marigoldgauge/cataloguer"
)

func TestHolderAcceptsOnlyLaterVersions(t *testing.T) {
	g := NewWithT(t)
	h := cataloguer.NewHolder()
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	installedAt := now
	g.Expect(h.Age(now)).To(BeZero())
	g.Expect(h.Version()).To(BeZero())
	catalogue := func(n uint64) *cataloguer.Catalogue { return cataloguer.New(n, 0, nil, nil, nil) }
	for _, step := range []struct {
		version  uint64
		accepted bool
	}{{4, true}, {4, false}, {3, false}, {9, true}, {8, false}} {
		now = now.Add(time.Second)
		g.Expect(h.Install(now, catalogue(step.version))).To(Equal(step.accepted))
		if step.accepted {
			installedAt = now
			g.Expect(h.Version()).To(Equal(step.version))
		}
		g.Expect(h.Age(now)).To(Equal(now.Sub(installedAt)))
	}
	g.Expect(h.Version()).To(BeEquivalentTo(9))
}
