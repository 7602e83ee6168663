package timekeeper

import (
	"context"
	"time"
)

// Sleep waits for d and reports whether it elapsed before ctx was done.
func Sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
