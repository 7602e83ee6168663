package coalescer_test

import (
	"context"
	"slices"
	"sync"
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
		const span = 100 * time.Millisecond
		var mu sync.Mutex
		var began []time.Time
		c := coalescer.New(func(context.Context) error {
			mu.Lock()
			began = append(began, time.Now())
			mu.Unlock()
			time.Sleep(span)
			return eris.New("result")
		})
		var calls errgroup.Group
		for n := range 50 {
			calls.Go(func() error {
				time.Sleep(time.Duration(n) * 3 * time.Millisecond)
				called := time.Now()
				g.Expect(c.Do(t.Context())).To(MatchError("result"))
				g.Expect(time.Since(called)).To(BeNumerically("<=", 2*span))
				mu.Lock()
				defer mu.Unlock()
				g.Expect(slices.ContainsFunc(began, func(at time.Time) bool {
					return !at.Before(called) && time.Since(at) >= span
				})).To(BeTrue(), "a run has begun after the call, and has ended")
				return nil
			})
		}
		g.Expect(calls.Wait()).To(Succeed())
		g.Expect(len(began)).To(BeNumerically("<=", 3))
	})
}
