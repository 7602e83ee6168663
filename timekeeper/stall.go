package timekeeper

import (
	"context"
	"io"
	"time"
)

// Stall ends a context when a transfer makes no progress.
type Stall struct {
	// OnProgress, if set, is called for each part that arrives.
	OnProgress func()

	limit time.Duration
	timer *time.Timer
}

// WithStallTimeout returns a context that is canceled when the first byte takes longer
// than first, or the next one longer than limit. The cancel function must be called.
func WithStallTimeout(ctx context.Context, first, limit time.Duration) (context.Context, *Stall, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	s := &Stall{limit: limit, timer: time.AfterFunc(first, func() { cancel(context.DeadlineExceeded) })}
	return ctx, s, func() {
		s.timer.Stop()
		cancel(context.Canceled)
	}
}

// Reader returns a reader whose reads count as progress.
func (s *Stall) Reader(r io.Reader) io.Reader {
	return &stallReader{Reader: r, stall: s}
}

// stallReader reports each read as progress.
type stallReader struct {
	io.Reader
	stall *Stall
}

// Read reads from the reader.
func (r *stallReader) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b)
	if n > 0 {
		r.stall.timer.Reset(r.stall.limit)
		if r.stall.OnProgress != nil {
			r.stall.OnProgress()
		}
	}
	return n, err
}
