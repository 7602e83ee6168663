package observer_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/marigoldgauge/marigoldgauge/modeller"
	"github.com/marigoldgauge/marigoldgauge/observer"
	"github.com/marigoldgauge/marigoldgauge/tracker"
)

// A primary that crashed and restarted before it was replaced leads the same term
// under the id of its new process.
func TestPrimaryRestartsWithinTerm(t *testing.T) {
	former, restarted := observer.Instance{ID: "a", Group: "g"}, observer.Instance{ID: "b", Group: "g"}
	leads := modeller.InstanceStatus{IsPrimary: true, Term: 1, Received: tracker.Position{Term: 1, Offset: 9}}
	tests := []struct {
		name  string
		learn func(o *observer.Observer) bool
		want  string
	}{
		{"by its status", func(o *observer.Observer) bool {
			o.UpdateInstances(start, []observer.Instance{restarted}, []string{"a"})
			return o.ObserveStatus(start, start, restarted, leads)
		}, "b"},
		{"from another VM", func(o *observer.Observer) bool {
			o.UpdateInstances(start, []observer.Instance{restarted}, []string{"a"})
			return o.LearnPrimary(start, "g", "b", 1)
		}, "b"},
		{"from another VM, while the former is still listed", func(o *observer.Observer) bool {
			o.UpdateInstances(start, []observer.Instance{former, restarted}, nil)
			return o.LearnPrimary(start, "g", "b", 1)
		}, "a"},
		{"outdated information about the former", func(o *observer.Observer) bool {
			o.UpdateInstances(start, []observer.Instance{restarted}, []string{"a"})
			return o.LearnPrimary(start, "g", "b", 1) && o.LearnPrimary(start, "g", "a", 1)
		}, "b"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := NewWithT(t)
			o := observer.New(func(string) time.Duration { return time.Millisecond }, 7*time.Second)
			o.UpdateInstances(start, []observer.Instance{former}, nil)
			g.Expect(o.ObserveStatus(start, start, former, leads)).To(BeTrue())
			g.Expect(o.PrimaryUnlisted("g")).To(BeFalse())
			g.Expect(tt.learn(o)).To(Equal(tt.name == "by its status" || tt.name == "from another VM"))
			primary, term, known := o.Primary("g")
			g.Expect(primary).To(Equal(tt.want))
			g.Expect(term).To(BeEquivalentTo(1))
			g.Expect(known).To(BeTrue())
			g.Expect(o.PrimaryUnlisted("g")).To(BeFalse())
		})
	}
}
