package journaler_test

import (
	"context"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"golang.org/x/sync/errgroup"

	"github.com/marigoldgauge/marigoldgauge/coder"
	"github.com/marigoldgauge/marigoldgauge/journaler"
	"github.com/marigoldgauge/marigoldgauge/timekeeper"
)

// BenchmarkRequest measures the cost of logging one decision about a request, as
// seen by the request.
func BenchmarkRequest(b *testing.B) {
	j := journaler.New(&log.Logger{Handler: discard.New(), Level: log.InfoLevel}, timekeeper.ClockFunc(time.Now))
	ctx, cancel := context.WithCancel(b.Context())
	var group errgroup.Group
	group.Go(func() error { return j.Run(ctx) })
	b.ReportAllocs()
	for b.Loop() {
		j.Request("refuse", "205957ab3a9ced50", journaler.Code(coder.OverRate), journaler.Organisation("north"),
			journaler.F("share", 0.25), journaler.F("demand", 12.5), journaler.F("retry-after", time.Second))
	}
	cancel()
	if err := group.Wait(); err != nil {
		b.Fatal(err)
	}
}
