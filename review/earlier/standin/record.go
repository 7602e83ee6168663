package main

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// record writes what was sent, answered and run, one line each, with the seconds since the
// start.
type record struct {
	mu    sync.Mutex
	out   io.Writer
	start time.Time
}

// newRecord returns a record that starts now.
func newRecord(out io.Writer) *record { return &record{out: out, start: time.Now()} }

// add adds a line.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// A record that cannot be written shows in its missing lines.
	_, _ = fmt.Fprintf(r.out, "%9.3f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
}
