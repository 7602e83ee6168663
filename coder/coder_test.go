package coder_test

import (
	"regexp"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/rotisserie/eris"

	"github.com/marigoldgauge/marigoldgauge/coder"
)

func TestTable(t *testing.T) {
	g := NewWithT(t)
	names := map[string]bool{}
	last := coder.Code(0)
	for i, r := range coder.Table() {
		g.Expect(i == 0 || r.Code > last).To(BeTrue(), "%s is out of order", r.Code)
		g.Expect(names[r.Name]).To(BeFalse(), "%s is a duplicate", r.Name)
		g.Expect(regexp.MustCompile(`^[0-9A-Z]{5}$`).MatchString(r.SQLState)).To(BeTrue(), r.Name)
		g.Expect(r.Meaning).NotTo(BeEmpty())
		g.Expect(r.Action).NotTo(BeEmpty())
		g.Expect(coder.Lookup(r.Code)).To(Equal(r))
		names[r.Name], last = true, r.Code
	}
}

func TestFrom(t *testing.T) {
	g := NewWithT(t)
	e := coder.New(coder.OverRate, "slow down")
	g.Expect(coder.From(eris.Wrap(e, "on the way"))).To(Equal(e))
	g.Expect(coder.From(eris.New("surprise")).Code).To(Equal(coder.Internal))
	g.Expect(coder.From(eris.New("surprise")).Outcome).To(Equal(coder.Unknown), "an unexpected error must not have the outcome NotRun")
}
