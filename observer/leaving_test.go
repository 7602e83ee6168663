package observer_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/marigoldgauge/marigoldgauge/modeller"
	"github.com/marigoldgauge/marigoldgauge/observer"
)

// An instance that announced that it is about to stop must receive no new statements
// near the end of its leaving period, not even as a primary that has not yet been
// replaced.
func TestLeavingInstanceGetsNoWorkNearItsStop(t *testing.T) {
	const drain = 7 * time.Second
	tests := []struct {
		name  string
		lead  bool
		after time.Duration
		want  string
	}{
		{"a write soon after the announcement", true, time.Second, "a"},
		{"a write near the end of the period", true, drain - 2*time.Second, ""},
		{"a read soon after the announcement, without another instance", false, time.Second, "a"},
		{"a read near the end of the period", false, drain - 2*time.Second, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := NewWithT(t)
			o := observer.New(func(string) time.Duration { return time.Millisecond }, drain)
			a, b := observer.Instance{ID: "a", Group: "g"}, observer.Instance{ID: "b", Group: "g"}
			o.UpdateInstances(start, []observer.Instance{a, b}, nil)
			o.ObserveStatus(start, start, a, modeller.InstanceStatus{IsPrimary: true, Term: 1})
			a.Leaving = true
			o.UpdateInstances(start, []observer.Instance{a, b}, nil)
			o.UpdateInstances(start.Add(tt.after), []observer.Instance{a, b}, nil)
			i, ok := o.Choose(start.Add(tt.after), observer.Requirements{Group: "g", NeedsPrimary: tt.lead, Exclude: []string{"b"}})
			g.Expect(ok).To(Equal(tt.want != ""))
			g.Expect(i.ID).To(Equal(tt.want))
		})
	}
}

// Guards against statements that reach an instance after its leaving period, since the
// announcement came late to this VM.
func TestLeavingPeriodBeginsWhenTheListWasLastKnown(t *testing.T) {
	const drain = 7 * time.Second
	tests := []struct {
		name string
		// age is the age of the list when the announcement comes, and after the time since then.
		age, after time.Duration
		want       bool
	}{
		{"the list is recent", 0, 4900 * time.Millisecond, true},
		{"the list is old", 3 * time.Second, 1900 * time.Millisecond, true},
		{"the list is old, and the period has ended", 3 * time.Second, 2 * time.Second, false},
		{"the list is older than the period", 6 * time.Second, 0, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := NewWithT(t)
			o := observer.New(func(string) time.Duration { return time.Millisecond }, drain)
			a := observer.Instance{ID: "a", Group: "g"}
			o.UpdateInstances(start, []observer.Instance{a}, nil)
			o.ObserveStatus(start, start, a, modeller.InstanceStatus{IsPrimary: true, Term: 1})
			announced := start.Add(tt.age)
			a.Leaving = true
			o.SetListAsOf(start)
			o.UpdateInstances(announced, []observer.Instance{a}, nil)
			_, ok := o.Choose(announced.Add(tt.after), observer.Requirements{Group: "g", NeedsPrimary: true})
			g.Expect(ok).To(Equal(tt.want))
		})
	}
}
