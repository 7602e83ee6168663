package configurator

import (
	"context"
	"time"

	"github.com/marigoldgauge/marigoldgauge/keeper"
)

// Store is the interface to the platform's store.
type Store interface {
	// Get returns an object, or keeper.ErrNotFound.
	Get(ctx context.Context, key string) (keeper.Object, error)
	// Put writes an object if the condition holds, and returns its new version.
	Put(ctx context.Context, key string, value []byte, cond keeper.Condition) (string, error)
	// List returns the objects under a prefix and the revision of the store.
	List(ctx context.Context, prefix string) (keeper.Page, error)
	// Watch waits for writes under a prefix after a revision, at most for the duration wait.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (keeper.Page, error)
}
