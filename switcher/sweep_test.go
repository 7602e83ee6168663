package switcher_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/marigoldgauge/marigoldgauge/switcher"
)

// Guards against a sweep after the loss of a single primary, and against two at a time.
func TestNeedsSweep(t *testing.T) {
	tests := []struct {
		name          string
		lost, pending int
		last          time.Duration
		want          bool
	}{
		{"two primaries", 2, 0, time.Hour, false},
		{"three primaries", 3, 0, time.Hour, true},
		{"a sweep is in progress", 9, 1, time.Hour, false},
		{"a sweep has just started", 9, 0, time.Second, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			NewWithT(t).Expect(switcher.NeedsSweep(now, tt.lost, tt.pending, now.Add(-tt.last))).To(Equal(tt.want))
		})
	}
	NewWithT(t).Expect([]int{switcher.SweepSize(0.2), switcher.SweepSize(50), switcher.SweepSize(5000)}).To(Equal([]int{1, 40, 100}))
}
