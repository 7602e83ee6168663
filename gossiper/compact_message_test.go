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
