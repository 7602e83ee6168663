package switcher_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/marigoldgauge/marigoldgauge/switcher"
)

// Guards against a VM that keeps the lease although it does not reach the platform, and
// against one that gives it up after a single lost request.
func TestShouldAbstain(t *testing.T) {
	tests := []struct {
		name     string
		failures int
		since    time.Duration
		want     bool
	}{
		{"none", 0, 0, false},
		{"many at once", 16, 0, false},
		{"one slow request", 1, 3 * time.Second, false},
		{"no response for long", 3, 2 * time.Second, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			NewWithT(t).Expect(switcher.ShouldAbstain(now, tt.failures, now.Add(-tt.since))).To(Equal(tt.want))
		})
	}
}
