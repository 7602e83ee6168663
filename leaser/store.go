package leaser

import (
	"context"

	"github.com/marigoldgauge/marigoldgauge/keeper"
)

// Store is the part of the platform's store that a Leaser needs.
type Store interface {
	// Get returns an object, or keeper.ErrNotFound.
	Get(ctx context.Context, key string) (keeper.Object, error)
	// Put writes an object under a condition.
	Put(ctx context.Context, key string, value []byte, cond keeper.Condition) (string, error)
}
