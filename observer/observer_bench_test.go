package observer_test

import (
	"testing"
	"time"

	"github.com/marigoldgauge/marigoldgauge/observer"
)

// largeFleetGroups is the number of groups of a large fleet.
const largeFleetGroups = 4000

// BenchmarkRenewPrimaryLeases measures one renewal where no group is in use.
func BenchmarkRenewPrimaryLeases(b *testing.B) {
	c, now := newLeaseCluster(largeFleetGroups), start
	for b.Loop() {
		now = now.Add(time.Millisecond)
		c.RenewPrimaryLeases(now, now, now.Add(time.Second), observer.LeaseRecord{Version: 1})
	}
}

// BenchmarkActivePrimaryViews measures the views of a fleet where no group is in use.
func BenchmarkActivePrimaryViews(b *testing.B) {
	c, now := newLeaseCluster(largeFleetGroups), start.Add(2*observer.ActivePeriod)
	for b.Loop() {
		c.ActivePrimaryViews(now, nil, func(*observer.PrimaryView) bool { return true })
	}
}
