package observer_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/marigoldgauge/marigoldgauge/modeller"
	"github.com/marigoldgauge/marigoldgauge/observer"
	"github.com/marigoldgauge/marigoldgauge/tracker"
)

// The lag of a replica must count from when the primary was first observed ahead of
// its position.
func TestViewsReportPositionAndLag(t *testing.T) {
	at := func(offset uint64) tracker.Position { return tracker.Position{Term: 1, Offset: offset} }
	tests := []struct {
		name   string
		offset uint64
		lag    time.Duration
	}{
		{"up to date", 30, 0},
		{"behind the last entries", 20, time.Second},
		{"behind more", 10, 2 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := NewWithT(t)
			o := observer.New(func(string) time.Duration { return time.Millisecond }, 7*time.Second)
			a, b := observer.Instance{ID: "a", Group: "g"}, observer.Instance{ID: "b", Group: "g"}
			o.UpdateInstances(start, []observer.Instance{a, b}, nil)
			o.ObserveStatus(start, start, a, modeller.InstanceStatus{IsPrimary: true, Term: 1, Received: at(10)})
			for n, offset := range []uint64{20, 30} {
				o.BeginStatement(a)
				sent := start.Add(time.Duration(n+1) * time.Second)
				o.EndStatement(sent, sent, a, modeller.Response{Result: modeller.Done, Position: at(offset)})
			}
			sent := start.Add(3 * time.Second)
			o.BeginStatement(b)
			o.EndStatement(sent, sent, b, modeller.Response{Result: modeller.Done, Position: at(tt.offset)})
			views := o.InstanceViews()
			g.Expect(views).To(HaveLen(2))
			g.Expect(views[0].Primary).To(BeTrue())
			g.Expect(views[0].Position).To(Equal(at(30)))
			g.Expect(views[1].Position).To(Equal(at(tt.offset)))
			g.Expect(views[1].PositionAt).To(Equal(sent))
			g.Expect(views[1].Lag).To(Equal(tt.lag))
		})
	}
}
