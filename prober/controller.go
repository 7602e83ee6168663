// Package prober watches and steers the instances of a database group.
package prober

import (
	"context"

	"github.com/marigoldgauge/marigoldgauge/tracker"
)

// Controller watches and steers one instance. What an instance offers may
// differ; a Controller hides how.
type Controller interface {
	// Status returns the status of the instance.
	Status(ctx context.Context) (tracker.Status, error)
	// Raise makes the instance follow a later term and refuse writes in earlier ones.
	Raise(ctx context.Context, term uint64, promoter string) (tracker.Status, error)
	// Promote makes the instance lead the term that it follows.
	Promote(ctx context.Context, term uint64, promoter string) (tracker.Status, error)
	// Fence makes the instance refuse the connections of earlier pool owners.
	Fence(ctx context.Context, epoch uint64, owner string) error
	// Close ends the connection to the instance.
	Close()
}
