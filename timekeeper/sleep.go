package timekeeper

import (
	"context"
	"time"
)

// Sleep waits for d and reports whether it elapsed before ctx was done.
func Sleep(ctx context.Context, d time.Duration) bool {
	_, ok := SleepUntil[struct{}](ctx, d, nil)
	return ok
}

// SleepUntil waits for d, at most until a value is received from wake, and returns that
// value. ok is false if ctx was done before.
func SleepUntil[V any](ctx context.Context, d time.Duration, wake <-chan V) (value V, ok bool) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case value = <-wake:
		return value, true
	case <-t.C:
		return value, true
	case <-ctx.Done():
		return value, false
	}
}
