// Package prober reads the status of the instances of a database group and
// calls their control functions.
package prober

import (
	"context"

	"github.com/marigoldgauge/marigoldgauge/tracker"
)

// Controller reads the status of one instance and controls its term and role.
// It hides how the instance implements that.
type Controller interface {
	// Status returns the status of the instance.
	Status(ctx context.Context) (tracker.Status, error)
	// RaiseTerm makes the instance follow a later term and refuse writes in earlier ones.
	RaiseTerm(ctx context.Context, term uint64, promoter string) (tracker.Status, error)
	// Promote makes the instance lead the term that it follows.
	Promote(ctx context.Context, term uint64, promoter string) (tracker.Status, error)
	// FenceEpoch makes the instance refuse connections of pool owners of earlier epochs.
	FenceEpoch(ctx context.Context, epoch uint64, owner string) error
	// Close closes the connection to the instance.
	Close()
}
