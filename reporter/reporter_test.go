package reporter_test

import (
	"flag"
	"os"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/marigoldgauge/marigoldgauge/configurator"
	"github.com/marigoldgauge/marigoldgauge/reporter"
)

// update makes the test rewrite the golden files.
var update = flag.Bool("update", false, "rewrite the golden files")

// state returns a configuration with two organisations.
func state(g *WithT) configurator.State {
	rateBound := configurator.NumberBound{Default: 50, Min: 1, Max: 200}
	stalenessBound := configurator.DurationBound{Default: configurator.Duration{Duration: 5 * time.Second}, Min: configurator.Duration{Duration: time.Second}, Max: configurator.Duration{Duration: time.Minute}}
	s, err := configurator.State{}.Apply(configurator.Change{Edits: []configurator.Edit{
		{Kind: configurator.PutTemplate, Template: &configurator.Template{Name: "standard", Rate: rateBound, Burst: rateBound, Staleness: stalenessBound}},
		{Kind: configurator.PutRoute, Route: &configurator.Route{Database: "members-1", Group: "members-1", Capacity: 120}},
		{Kind: configurator.PutOrganisation, Organisation: &configurator.Organisation{Name: "large", Template: "standard", Databases: []string{"members-1"}}},
		{Kind: configurator.PutOrganisation, Organisation: &configurator.Organisation{Name: "small", Template: "standard", Databases: []string{"members-1"}}},
		{Kind: configurator.AddKey, Object: "small", Key: &configurator.Key{ID: "small-key"}},
	}})
	g.Expect(err).NotTo(HaveOccurred())
	return s
}

func TestRender(t *testing.T) {
	at := time.Date(2026, 5, 4, 9, 30, 0, 0, time.UTC)
	tests := []struct {
		name     string
		edit     configurator.Edit
		accepted bool
	}{
		{"rate-of-template", configurator.Edit{Kind: configurator.SetTemplate, Object: "standard", Parameter: configurator.Rate, Value: "80"}, false},
		{"key-withdrawn", configurator.Edit{Kind: configurator.WithdrawKey, Object: "small", Key: &configurator.Key{ID: "small-key"}}, true},
	}
	for _, tt := range tests {
		for _, format := range []reporter.Format{reporter.Markdown, reporter.HTML} {
			t.Run(tt.name+"."+string(format), func(t *testing.T) {
				g := NewWithT(t)
				change := configurator.Change{ID: tt.name, Base: 1, Proposer: "first operator", Proposed: at, Reason: "open day <next week>", Edits: []configurator.Edit{tt.edit}}
				plan, err := configurator.Preview(state(g), change, configurator.FleetStatus{Callers: map[string]int{"large": 12, "small": 3}, Lag: 200 * time.Millisecond})
				g.Expect(err).NotTo(HaveOccurred())
				r := reporter.Report{Plan: plan}
				if tt.accepted {
					r.Change.Generation, r.Change.Accepter, r.Change.Accepted = 2, "second operator", at.Add(time.Hour)
					r.InForce = &configurator.Activation{Generation: 2, At: at.Add(time.Hour + 130*time.Millisecond), VMs: 9}
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
