package leaser_test

import (
	"context"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rotisserie/eris"

	"github.com/marigoldgauge/marigoldgauge/clocker"
	"github.com/marigoldgauge/marigoldgauge/keeper"
	"github.com/marigoldgauge/marigoldgauge/leaser"
)

const (
	key   = "duties/replace"
	lease = 4 * time.Second
)

// store is a store with one object, which can lose answers.
type store struct {
	object   keeper.Object
	revision uint64
	lose     bool
	drop     bool
}

func (s *store) Get(context.Context, string) (keeper.Object, error) {
	if s.object.Version == "" {
		return keeper.Object{}, keeper.ErrNotFound
	}
	return s.object, nil
}

func (s *store) Put(_ context.Context, key string, value []byte, cond keeper.Condition) (string, error) {
	if s.drop {
		s.drop = false
		return "", eris.New("no answer")
	}
	if cond.Absent != (s.object.Version == "") || (!cond.Absent && cond.Version != s.object.Version) {
		return "", keeper.ErrConflict
	}
	s.revision++
	s.object = keeper.Object{Key: key, Version: strconv.FormatUint(s.revision, 10), Revision: s.revision, Value: value}
	if s.lose {
		s.lose = false
		return "", eris.New("the answer was lost")
	}
	return s.object.Version, nil
}

// world is a store, a clock and two VMs.
type world struct {
	now  time.Time
	s    *store
	a, b *leaser.Leaser
}

func newWorld() *world {
	w := &world{now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), s: &store{}}
	w.a, w.b = w.vm("a", 1), w.vm("b", 1)
	return w
}

func (w *world) vm(name string, incarnation uint64) *leaser.Leaser {
	return leaser.New(w.s, clocker.Func(func() time.Time { return w.now }), key, name, incarnation, lease)
}

func TestHolderChangesAfterTheLease(t *testing.T) {
	g := NewWithT(t)
	w := newWorld()
	first, err := w.a.Acquire(t.Context(), nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(first.Token).To(BeEquivalentTo(1))
	_, err = w.b.Acquire(t.Context(), nil)
	g.Expect(err).To(MatchError(leaser.ErrHeld))
	w.now = w.now.Add(lease - time.Millisecond)
	_, err = w.b.Acquire(t.Context(), nil)
	g.Expect(err).To(MatchError(leaser.ErrHeld))
	g.Expect(first.Valid(w.now)).To(BeFalse(), "the holder stops before another may begin")
	w.now = w.now.Add(time.Millisecond)
	second, err := w.b.Acquire(t.Context(), nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(second.Token).To(BeEquivalentTo(2))
}

// A renewal that the other VM has not seen begins its wait anew.
func TestRenewalIsNoticed(t *testing.T) {
	g := NewWithT(t)
	w := newWorld()
	_, err := w.a.Acquire(t.Context(), nil)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = w.b.Acquire(t.Context(), nil)
	g.Expect(err).To(MatchError(leaser.ErrHeld))
	w.now = w.now.Add(lease)
	again, err := w.a.Acquire(t.Context(), nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(again.Token).To(BeEquivalentTo(1))
	_, err = w.b.Acquire(t.Context(), nil)
	g.Expect(err).To(MatchError(leaser.ErrHeld))
}

func TestAgeIsCountedFromWhenAnyVMHeard(t *testing.T) {
	g := NewWithT(t)
	w := newWorld()
	_, err := w.a.Acquire(t.Context(), nil)
	g.Expect(err).NotTo(HaveOccurred())
	w.b.Heard(w.now, w.a.Known())
	w.now = w.now.Add(lease)
	_, err = w.b.Acquire(t.Context(), nil)
	g.Expect(err).NotTo(HaveOccurred())
}

func TestRestartedHolderHasALaterToken(t *testing.T) {
	g := NewWithT(t)
	w := newWorld()
	_, err := w.a.Acquire(t.Context(), nil)
	g.Expect(err).NotTo(HaveOccurred())
	grant, err := w.vm("a", 2).Acquire(t.Context(), nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(grant.Token).To(BeEquivalentTo(2))
}

func TestLostAnswers(t *testing.T) {
	tests := []struct {
		name       string
		lose, drop bool
		held       bool
	}{
		{"the write took effect", true, false, true},
		{"the write did not take effect", false, true, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := NewWithT(t)
			w := newWorld()
			w.s.lose, w.s.drop = tt.lose, tt.drop
			grant, err := w.a.Acquire(t.Context(), func(r *leaser.Record) { r.Superseded["g"] = 3 })
			g.Expect(err == nil).To(Equal(tt.held))
			g.Expect(grant.Valid(w.now)).To(Equal(tt.held))
			if tt.held {
				g.Expect(w.a.Known().Superseded).To(HaveKeyWithValue("g", BeEquivalentTo(3)))
			}
		})
	}
}
