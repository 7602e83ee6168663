package journaler_test

import (
	"bytes"
	"context"
	"errors"
	"runtime"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/logfmt"
	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"

	"github.com/marigoldgauge/marigoldgauge/journaler"
	"github.com/marigoldgauge/marigoldgauge/timekeeper"
)

// recordingHandler is a log handler that keeps messages and can block.
type recordingHandler struct {
	mu    sync.Mutex
	lines []string
	block chan struct{}
}

func (h *recordingHandler) HandleLog(e *log.Entry) error {
	if h.block != nil {
		<-h.block
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lines = append(h.lines, e.Message)
	return nil
}

func count(lines []string, substr string) int {
	n := 0
	for _, l := range lines {
		if strings.Contains(l, substr) {
			n++
		}
	}
	return n
}

// Guards against texts of clients that take the memory of a process with its recent decisions, or whose lines are
// too long to be read.
func TestTextsAreBounded(t *testing.T) {
	message := func() string { return strings.Repeat("\x01", 1<<20) }
	tests := []struct {
		name   string
		record func(j *journaler.Journaler)
	}{
		{"a part of a long message", func(j *journaler.Journaler) { j.Request("abort", message()[6:22]) }},
		{"a long id", func(j *journaler.Journaler) { j.Request("abort", message()) }},
		{"a long reason", func(j *journaler.Journaler) { j.Request("abort", "q", journaler.Reason(message())) }},
		{"a long error", func(j *journaler.Journaler) { j.LogStateChange("abort", journaler.Err(errors.New(message()))) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := NewWithT(t)
			now := time.Unix(1000, 0)
			var out bytes.Buffer
			j := journaler.New(&log.Logger{Handler: logfmt.New(&out)}, timekeeper.ClockFunc(func() time.Time { return now }))
			heap := func() uint64 {
				runtime.GC()
				var m runtime.MemStats
				runtime.ReadMemStats(&m)
				return m.HeapAlloc
			}
			before := heap()
			for range 50 {
				now = now.Add(time.Second)
				tt.record(j)
			}
			grown := int64(heap()) - int64(before)
			t.Logf("the heap grew by %d KiB", grown>>10)
			g.Expect(grown).To(BeNumerically("<", 1<<20))
			ctx, cancel := context.WithCancel(t.Context())
			cancel()
			g.Expect(j.Run(ctx)).To(Succeed())
			for line := range strings.Lines(out.String()) {
				g.Expect(len(line)).To(BeNumerically("<", 16<<10))
			}
		})
	}
}

// Guards against callers that block while the log handler is blocked.
func TestBlockedHandlerDoesNotBlockCallers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h := &recordingHandler{block: make(chan struct{})}
		j := journaler.New(&log.Logger{Handler: h}, timekeeper.ClockFunc(time.Now))
		ctx, cancel := context.WithCancel(t.Context())
		var group errgroup.Group
		group.Go(func() error { return j.Run(ctx) })
		start := time.Now()
		for n := range 20_000 {
			j.LogStateChange(string(rune('a' + n%200)))
		}
		g.Expect(time.Since(start)).To(BeZero())
		g.Expect(j.Dropped()).To(BeNumerically(">", 0))
		close(h.block)
		cancel()
		g.Expect(group.Wait()).To(Succeed())
	})
}

// Guards against a flood of one kind of decision that displaces another kind or the
// report of dropped lines.
func TestFloodOfOneDecisionIsLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h := &recordingHandler{}
		j := journaler.New(&log.Logger{Handler: h}, timekeeper.ClockFunc(time.Now))
		ctx, cancel := context.WithCancel(t.Context())
		var group errgroup.Group
		group.Go(func() error { return j.Run(ctx) })
		for range 10 {
			for range 1000 {
				j.Request("refuse", "q")
			}
			time.Sleep(100 * time.Millisecond)
		}
		j.LogStateChange("primary-changed")
		time.Sleep(2 * time.Second)
		cancel()
		g.Expect(group.Wait()).To(Succeed())
		g.Expect(count(h.lines, "primary-changed")).To(Equal(1))
		g.Expect(count(h.lines, "refuse")).To(BeNumerically("<", 120))
		g.Expect(count(h.lines, "lines-left-out")).To(BeNumerically(">", 0))
	})
}

// Guards against a report of dropped lines that reads their counts while a caller changes them, which ends
// the process.
func TestLinesAreDroppedDuringAReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		j := journaler.New(&log.Logger{Handler: &recordingHandler{}, Level: log.InfoLevel}, timekeeper.ClockFunc(time.Now))
		ctx, cancel := context.WithCancel(context.Background())
		var group errgroup.Group
		group.Go(func() error { return j.Run(ctx) })
		for range 8 {
			group.Go(func() error {
				for ctx.Err() == nil {
					for range 100 {
						j.LogStateChange("flood")
					}
					time.Sleep(2500 * time.Millisecond)
				}
				return nil
			})
		}
		time.Sleep(20 * time.Second)
		cancel()
		NewWithT(t).Expect(group.Wait()).To(Succeed())
	})
}
