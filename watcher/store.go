package watcher

import (
	"context"
	"time"

	"github.com/marigoldgauge/marigoldgauge/keeper"
)

// Store is the part of the platform's store that a Watcher needs.
type Store interface {
	// List returns all objects under a prefix.
	List(ctx context.Context, prefix string) (keeper.Page, error)
	// Watch waits up to wait for changes under a prefix after a revision and returns them.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (keeper.Page, error)
}
