package governor

import (
	"context"
	"time"

	"github.com/marigoldgauge/marigoldgauge/keeper"
)

// Store is the part of the platform's store that the configuration needs.
type Store interface {
	// Get returns an object, or keeper.ErrNotFound.
	Get(ctx context.Context, key string) (keeper.Object, error)
	// Put writes an object under a condition.
	Put(ctx context.Context, key string, value []byte, cond keeper.Condition) (string, error)
	// List returns the objects under a prefix.
	List(ctx context.Context, prefix string) (keeper.Page, error)
	// Watch waits for writes under a prefix.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (keeper.Page, error)
}
