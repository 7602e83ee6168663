package journaler_test

import (
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"

	"github.com/marigoldgauge/marigoldgauge/journaler"
	"github.com/marigoldgauge/marigoldgauge/timekeeper"
)

// sink is a log handler that can stop reading.
type sink struct {
	mu    sync.Mutex
	lines []string
	block chan struct{}
}

func (s *sink) HandleLog(e *log.Entry) error {
	if s.block != nil {
		<-s.block
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lines = append(s.lines, e.Message)
	return nil
}

func count(lines []string, what string) int {
	n := 0
	for _, l := range lines {
		if strings.Contains(l, what) {
			n++
		}
	}
	return n
}

// Whoever reads the log may stop doing so; nothing waits for it.
func TestNothingWaitsForTheReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := &sink{block: make(chan struct{})}
		j := journaler.New(&log.Logger{Handler: s}, timekeeper.ClockFunc(time.Now))
		ctx, cancel := context.WithCancel(t.Context())
		var group errgroup.Group
		group.Go(func() error { return j.Run(ctx) })
		began := time.Now()
		for n := range 20_000 {
			j.LogStateChange(string(rune('a' + n%200)))
		}
		g.Expect(time.Since(began)).To(BeZero())
		g.Expect(j.Dropped()).To(BeNumerically(">", 0))
		close(s.block)
		cancel()
		g.Expect(group.Wait()).To(Succeed())
	})
}

// A flood of one kind hides neither another kind nor the count of what is left out.
func TestFloodOfOneKind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := &sink{}
		j := journaler.New(&log.Logger{Handler: s}, timekeeper.ClockFunc(time.Now))
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
		g.Expect(count(s.lines, "primary-changed")).To(Equal(1))
		g.Expect(count(s.lines, "refuse")).To(BeNumerically("<", 120))
		g.Expect(count(s.lines, "lines-left-out")).To(BeNumerically(">", 0))
	})
}
