package observer_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/marigoldgauge/marigoldgauge/observer"
)

// start is the time at which every test begins.
var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// After an outage of the store the list comes back entry by entry. An instance
// that is missing for a moment must still count: a promotion that leaves it out
// may choose one without the last commits.
func TestRoll(t *testing.T) {
	a, b := observer.Instance{ID: "a"}, observer.Instance{ID: "b"}
	leaving := observer.Instance{ID: "b", Leaving: true}
	tests := []struct {
		name   string
		before observer.Instance
		after  time.Duration
		want   int
	}{
		{"still listed elsewhere in a moment", b, time.Second, 2},
		{"missing for long", b, observer.LapseGrace, 1},
		{"announced its end", leaving, time.Millisecond, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := NewWithT(t)
			r := observer.NewRoll()
			r.List(start, []observer.Instance{a, tt.before})
			r.List(start.Add(time.Second), []observer.Instance{a})
			r.List(start.Add(time.Second+time.Millisecond), []observer.Instance{a})
			g.Expect(r.Instances(start.Add(time.Second + tt.after))).To(HaveLen(tt.want))
		})
	}
}

func TestRollReturns(t *testing.T) {
	g := NewWithT(t)
	r := observer.NewRoll()
	r.List(start, []observer.Instance{{ID: "a"}})
	r.List(start.Add(time.Second), nil)
	r.List(start.Add(2*time.Second), []observer.Instance{{ID: "a"}})
	g.Expect(r.Instances(start.Add(time.Hour))).To(HaveLen(1))
}

// A list that tells only that instances go on warming up is no news to other VMs.
func TestRollTellsWhatMatters(t *testing.T) {
	g := NewWithT(t)
	r := observer.NewRoll()
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	cold := observer.Instance{ID: "i-1", Group: "db", ColdFor: 2 * time.Second}
	warmer, warm, leaving := cold, cold, cold
	warmer.ColdFor, warm.ColdFor, leaving.ColdFor = time.Second, 0, 0
	leaving.Leaving = true
	steps := []struct {
		name    string
		list    []observer.Instance
		changed bool
	}{
		{"came", []observer.Instance{cold}, true},
		{"warms up", []observer.Instance{warmer}, false},
		{"is warm", []observer.Instance{warm}, true},
		{"again", []observer.Instance{warm}, false},
		{"leaves", []observer.Instance{leaving}, true},
		{"is gone", nil, true},
		{"still gone", nil, false},
	}
	for _, s := range steps {
		g.Expect(r.List(now, s.list)).To(Equal(s.changed), s.name)
	}
}
