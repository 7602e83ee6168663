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
	// Watch returns the changes under a prefix after a revision. It blocks until there
	// is one, at most for wait, and then returns an empty page.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (keeper.Page, error)
}
