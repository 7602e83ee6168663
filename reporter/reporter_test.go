package reporter_test

import (
	"flag"
	"os"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/marigoldgauge/marigoldgauge/governor"
	"github.com/marigoldgauge/marigoldgauge/reporter"
)

// update makes the test rewrite the golden files.
var update = flag.Bool("update", false, "rewrite the golden files")

// state returns a configuration with two organisations.
func state(g *WithT) governor.State {
	rateBound := governor.NumberBound{Default: 50, Min: 1, Max: 200}
	stalenessBound := governor.DurationBound{Default: governor.Duration{Duration: 5 * time.Second}, Min: governor.Duration{Duration: time.Second}, Max: governor.Duration{Duration: time.Minute}}
	s, err := governor.State{}.Apply(governor.Change{Edits: []governor.Edit{
		{Kind: governor.PutTemplate, Template: &governor.Template{Name: "standard", Rate: rateBound, Burst: rateBound, Staleness: stalenessBound}},
		{Kind: governor.PutRoute, Route: &governor.Route{Database: "members-1", Group: "members-1", Capacity: 120}},
		{Kind: governor.PutOrganisation, Organisation: &governor.Organisation{Name: "large", Template: "standard", Databases: []string{"members-1"}}},
		{Kind: governor.PutOrganisation, Organisation: &governor.Organisation{Name: "small", Template: "standard", Databases: []string{"members-1"}}},
		{Kind: governor.AddKey, Object: "small", Key: &governor.Key{ID: "small-key"}},
	}})
	g.Expect(err).NotTo(HaveOccurred())
	return s
}

func TestRender(t *testing.T) {
	at := time.Date(2026, 5, 4, 9, 30, 0, 0, time.UTC)
	tests := []struct {
		name     string
		edit     governor.Edit
		accepted bool
	}{
		{"rate-of-template", governor.Edit{Kind: governor.SetTemplate, Object: "standard", Parameter: governor.Rate, Value: "80"}, false},
		{"key-withdrawn", governor.Edit{Kind: governor.WithdrawKey, Object: "small", Key: &governor.Key{ID: "small-key"}}, true},
	}
	for _, tt := range tests {
		for _, format := range []reporter.Format{reporter.Markdown, reporter.HTML} {
			t.Run(tt.name+"."+string(format), func(t *testing.T) {
				g := NewWithT(t)
				change := governor.Change{ID: tt.name, Base: 1, Proposer: "first operator", Proposed: at, Reason: "open day <next week>", Edits: []governor.Edit{tt.edit}}
				plan, err := governor.Preview(state(g), change, governor.Facts{Callers: map[string]int{"large": 12, "small": 3}, Lag: 200 * time.Millisecond})
				g.Expect(err).NotTo(HaveOccurred())
				r := reporter.Report{Plan: plan}
				if tt.accepted {
					r.Change.Generation, r.Change.Accepter, r.Change.Accepted = 2, "second operator", at.Add(time.Hour)
					r.InForce = &governor.InForce{Generation: 2, At: at.Add(time.Hour + 130*time.Millisecond), VMs: 9}
				}
				got, err := reporter.Render(r, format)
				g.Expect(err).NotTo(HaveOccurred())
				path := "testdata/" + tt.name + "." + string(format)
				if *update {
					g.Expect(os.WriteFile(path, got, 0o644)).To(Succeed())
				}
				want, err := os.ReadFile(path)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(string(got)).To(Equal(string(want)))
			})
		}
	}
}
