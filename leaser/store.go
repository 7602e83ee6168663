package leaser

import (
	"context"

	"github.com/marigoldgauge/marigoldgauge/keeper"
)

// Store is the part of the platform's store that a Leaser needs.
type Store interface {
	// Get returns the object of a key, or keeper.ErrNotFound.
	Get(ctx context.Context, key string) (keeper.Object, error)
	// Put writes an object if cond holds and returns its new version.
	Put(ctx context.Context, key string, value []byte, cond keeper.Condition) (string, error)
}
