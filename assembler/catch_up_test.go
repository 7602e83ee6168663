package assembler

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/marigoldgauge/marigoldgauge/gossiper"
	"github.com/marigoldgauge/marigoldgauge/timekeeper"
)

// A VM that does not watch the store fetches a later configuration as soon as it is
// announced. One that watches the store waits for the store, and no VM is woken by a version
// that it has: each wake-up would cost a fetch or a check of all VMs.
func TestAnnouncedVersionWakesCatchUp(t *testing.T) {
	tests := []struct {
		name           string
		watches        bool
		announced, own uint64
		want           time.Duration
	}{
		{"later", false, 8, 7, 10 * time.Millisecond},
		{"first", false, 8, 0, 10 * time.Millisecond},
		{"same", false, 7, 7, catchUpInterval},
		{"earlier", false, 6, 7, catchUpInterval},
		{"later, but watches the store", true, 8, 7, catchUpInterval},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				s := &state{laterCatalogue: make(chan gossiper.Peer, 1)}
				s.watchesStore.Store(tt.watches)
				time.AfterFunc(10*time.Millisecond, func() {
					// Each relay announces it.
					for _, relay := range []string{"a", "b"} {
						s.noteVersion(time.Now(), gossiper.Message{Name: relay, Version: tt.announced}, tt.own)
					}
				})
				start := time.Now()
				announcer, ok := timekeeper.SleepUntil(context.Background(), catchUpInterval, s.laterCatalogue)
				g.Expect(ok).To(BeTrue())
				g.Expect(time.Since(start)).To(Equal(tt.want))
				if tt.want < catchUpInterval {
					g.Expect(announcer.Name).To(Equal("a"))
				}
				synctest.Wait()
			})
		})
	}
}
