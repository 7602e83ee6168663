package gossiper

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/marigoldgauge/marigoldgauge/tracker"
)

// When all VMs start, many request the full state of a relay at a time. The states of all
// groups must not be composed for each, and their positions not become younger.
func TestFullStatesShareTheGroups(t *testing.T) {
	g := NewWithT(t)
	f := newCostFleet(300, 6)
	composed := 0
	f.compose = func(_ time.Time, to Audience) Message {
		m := f.reports[0]
		m.Name, m.Sequence = f.name, 0
		if to == ToNewVM {
			composed++
			m.Groups = []GroupStatus{{Group: "db", Primary: "i-1", Term: 2, Position: tracker.Position{Term: 2, Offset: 9}, Age: time.Second}, {Group: "other"}}
		}
		return m
	}
	f.sendRound(f.now, false)
	last := f.self.Sequence
	for n := range 50 {
		after := time.Duration(n) * 4 * time.Millisecond
		m := f.fullStateMessage(f.now.Add(after), true)
		g.Expect(m.Groups).To(HaveLen(2))
		g.Expect(m.Groups[0].Age).To(Equal(time.Second + after))
		g.Expect(m.Groups[1].Age).To(BeZero())
		g.Expect(m.Sequence).To(BeNumerically(">", last))
		g.Expect(f.fullStateMessage(f.now.Add(after), false).Groups).To(BeEmpty())
		last = f.sequence
	}
	g.Expect(composed).To(Equal(1))
	f.fullStateMessage(f.now.Add(maxGroupsAge), true)
	g.Expect(composed).To(Equal(2))
}
