package gossiper

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against verified ages that a compact message makes younger: a VM would rely on others
// for too long.
func TestCompactMessagesNeverMakeVerifiedAgesYounger(t *testing.T) {
	tests := []struct{ age, want time.Duration }{
		{0, 0},
		{MinVerifiedAge, 100 * time.Millisecond},
		{1700 * time.Millisecond, 1700 * time.Millisecond},
		{1701 * time.Millisecond, 1800 * time.Millisecond},
		{time.Hour, time.Hour},
		{-time.Second, 0},
	}
	for _, tt := range tests {
		g := NewWithT(t)
		m := Message{VerifiedAge: tt.age, ListVerifiedAge: 2 * tt.age}
		c := m.compact()
		got := c.message(&profile{})
		g.Expect(got.VerifiedAge).To(Equal(tt.want))
		g.Expect(got.ListVerifiedAge).To(BeNumerically(">=", min(2*tt.age, time.Hour)))
	}
}

// Guards against reports of demand that are confirmed to another process, or not at all: a VM
// would count itself for more than the others count it.
func TestReportsInCompactMessages(t *testing.T) {
	g := NewWithT(t)
	m := Message{Name: "a", Incarnation: 3, Demand: map[string]uint32{"o": 250}, Report: 7, Confirmed: map[uint32]uint32{11: 4, 12: 9}}
	p, c := m.profile(), m.compact()
	got := c.message(&p)
	g.Expect(got.Report).To(Equal(m.Report))
	g.Expect(got.Confirmed).To(Equal(m.Confirmed))
	g.Expect(got.Demand).To(Equal(m.Demand))
	g.Expect(got.ProcessID()).To(Equal(m.ProcessID()))
	for _, other := range []Message{{Name: "a", Incarnation: 4}, {Name: "b", Incarnation: 3}} {
		g.Expect(other.ProcessID()).NotTo(Equal(m.ProcessID()))
	}
}
