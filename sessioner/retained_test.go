package sessioner

import (
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against sessions that take all of the memory of a VM with values and definitions.
func TestRetainedBytesAreBounded(t *testing.T) {
	const step = 1 << 20
	tests := []struct {
		name            string
		sessions, steps int
		retained        int64
	}{
		{"one session", 1, 20, maxSessionBytes},
		{"a few sessions", 3, 20, 3 * maxSessionBytes},
		{"all sessions", 12, 10, maxRetainedBytes},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := NewWithT(t)
			var r retainedBytes
			lengths := make([]int64, tt.sessions)
			for range tt.steps {
				for n := range lengths {
					lengths[n], _ = r.resize(lengths[n], step)
				}
			}
			g.Expect(r.total.Load()).To(Equal(tt.retained))
			for _, length := range lengths {
				left, ok := r.resize(length, -length)
				g.Expect(ok).To(BeTrue())
				g.Expect(left).To(BeZero())
			}
			g.Expect(r.total.Load()).To(BeZero())
		})
	}
}
