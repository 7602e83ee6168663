package switcher

import (
	"context"

	"github.com/marigoldgauge/marigoldgauge/leaser"
)

// Promoter promotes instances through the platform.
type Promoter interface {
	// Promote makes an instance the primary of its group. It is idempotent. It fails with
	// ErrRateLimited if the platform has received too many requests, and with
	// ErrPlatformUnreachable if it did not respond.
	Promote(ctx context.Context, g leaser.Grant, group, instance string) error
}
