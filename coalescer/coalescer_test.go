package coalescer_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/marigoldgauge/marigoldgauge/coalescer"
)

// Guards against a call that is served by a run that began before it, and against a run for each call.
func TestCallsShareLaterRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var began []time.Time
		c := coalescer.New(func(context.Context) error {
			began = append(began, time.Now())
			time.Sleep(100 * time.Millisecond)
			return eris.New("result")
		})
		var calls errgroup.Group
		for n := range 50 {
			calls.Go(func() error {
				time.Sleep(time.Duration(n) * 3 * time.Millisecond)
				called := time.Now()
				err := c.Do(t.Context())
				g.Expect(err).To(MatchError("result"))
				g.Expect(time.Since(called)).To(BeNumerically("<=", 200*time.Millisecond))
				g.Expect(began[len(began)-1].Before(called)).To(BeFalse())
				return nil
			})
		}
		g.Expect(calls.Wait()).To(Succeed())
		g.Expect(len(began)).To(BeNumerically("<=", 3))
	})
}
