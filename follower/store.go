package follower

import (
	"context"
	"time"

	"github.com/marigoldgauge/marigoldgauge/keeper"
)

// Store is the part of the platform's store that a Follower needs.
type Store interface {
	// List returns the objects under a prefix.
	List(ctx context.Context, prefix string) (keeper.Page, error)
	// Watch waits at most wait for changes under a prefix after a revision.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (keeper.Page, error)
}
