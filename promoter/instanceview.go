package promoter

import (
	"time"

	"github.com/marigoldgauge/marigoldgauge/tracker"
)

// InstanceView is the state of one instance as a Promoter knows it.
type InstanceView struct {
	// ID is the id of the instance.
	ID string
	// Known reports whether the instance ever responded.
	Known bool
	// LastResponse is the time of its last response.
	LastResponse time.Time
	// RoundTrip is the round-trip time to the instance.
	RoundTrip time.Duration
	// Status is its last known status.
	Status tracker.Status
}

// leads reports whether the instance leads the latest term that it knows.
func (i InstanceView) leads() bool {
	return i.Known && i.Status.Primary && i.Status.Term == i.Status.History.Term()
}
