package switcher

import (
	"context"

	"github.com/marigoldgauge/marigoldgauge/leaser"
)

// Promoter replaces primaries.
type Promoter interface {
	// Promote lets an instance lead its group. It may be repeated.
	Promote(ctx context.Context, g leaser.Grant, group, instance string) error
}
