package promoter

import (
	"time"

	"github.com/marigoldgauge/marigoldgauge/tracker"
)

// InstanceView is one instance of a View.
type InstanceView struct {
	// ID names the instance.
	ID string
	// Known reports whether the instance ever answered.
	Known bool
	// Heard is the time of its last answer.
	Heard time.Time
	// Distance is its round trip time.
	Distance time.Duration
	// Status is its last status.
	Status tracker.Status
}

// leads reports whether the instance leads the latest term that it knows.
func (i InstanceView) leads() bool {
	return i.Known && i.Status.Primary && i.Status.Term == i.Status.History.Term()
}
