package watcher_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/marigoldgauge/marigoldgauge/keeper"
	"github.com/marigoldgauge/marigoldgauge/timekeeper"
	"github.com/marigoldgauge/marigoldgauge/versioner"
	"github.com/marigoldgauge/marigoldgauge/watcher"
)

// fakeStore is a store that returns scripted pages. A nil page is a failed call.
type fakeStore struct {
	lists, watches []*keeper.Page
	listed         int
	watched        []uint64
}

func (s *fakeStore) List(context.Context, string) (keeper.Page, error) {
	s.listed++
	return nextPage(&s.lists)
}

func (s *fakeStore) Watch(ctx context.Context, _ string, after uint64, wait time.Duration) (keeper.Page, error) {
	s.watched = append(s.watched, after)
	if len(s.watches) == 0 {
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
		return keeper.Page{Revision: after}, ctx.Err()
	}
	return nextPage(&s.watches)
}

func nextPage(pages *[]*keeper.Page) (keeper.Page, error) {
	p := (*pages)[0]
	*pages = (*pages)[1:]
	if p == nil {
		return keeper.Page{}, eris.New("no response")
	}
	return *p, nil
}

func object(key string, revision uint64) keeper.Object {
	return keeper.Object{Key: key, Revision: revision}
}

// follow runs a Watcher on a fake store for 20 s and returns the revisions of the objects
// of a list that follows its updates, by key, and the updates with changes.
func follow(t *testing.T, s *fakeStore, hold func(now time.Time) time.Duration) (got map[string]uint64, updates []versioner.Update) {
	list := versioner.NewList()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := watcher.Watcher{Store: s, Prefix: "k/", Wait: func() time.Duration { return 4 * time.Second }, Clock: timekeeper.ClockFunc(time.Now), Suspend: hold,
			OnStoreCall: func(time.Time, error) {},
			Apply: func(u versioner.Update) {
				list.Update(u)
				if len(u.Objects)+len(u.Removed) > 0 {
					updates = append(updates, u)
				}
			}}
		var group errgroup.Group
		group.Go(func() error { return f.Run(ctx) })
		time.Sleep(20 * time.Second)
		cancel()
		NewWithT(t).Expect(group.Wait()).To(Succeed())
	})
	got = map[string]uint64{}
	for _, o := range list.Objects() {
		got[o.Key] = o.Revision
	}
	return got, updates
}

func TestWatcher(t *testing.T) {
	a, b, late := object("k/a", 3), object("k/b", 4), object("k/a", 2)
	deleted := object("k/a", 9)
	deleted.Deleted = true
	initial := &keeper.Page{Revision: 4, Objects: []keeper.Object{a}}
	tests := []struct {
		name   string
		store  fakeStore
		want   map[string]uint64
		listed int
	}{
		{"changes and deletions", fakeStore{lists: []*keeper.Page{initial}, watches: []*keeper.Page{
			{Revision: 5, Objects: []keeper.Object{b}}, {Revision: 9, Objects: []keeper.Object{deleted}}}}, map[string]uint64{"k/b": 4}, 1},
		{"an older change is ignored", fakeStore{lists: []*keeper.Page{initial}, watches: []*keeper.Page{
			{Revision: 5, Objects: []keeper.Object{late}}}}, map[string]uint64{"k/a": 3}, 1},
		{"the history was discarded", fakeStore{lists: []*keeper.Page{initial, {Revision: 20, Objects: []keeper.Object{b}}}, watches: []*keeper.Page{
			{TooOld: true}}}, map[string]uint64{"k/b": 4}, 2},
		{"first calls fail", fakeStore{lists: []*keeper.Page{nil, nil, initial}}, map[string]uint64{"k/a": 3}, 3},
		{"a watch fails", fakeStore{lists: []*keeper.Page{initial}, watches: []*keeper.Page{nil,
			{Revision: 5, Objects: []keeper.Object{b}}}}, map[string]uint64{"k/a": 3, "k/b": 4}, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := NewWithT(t)
			got, _ := follow(t, &tt.store, nil)
			g.Expect(got).To(Equal(tt.want))
			g.Expect(tt.store.listed).To(Equal(tt.listed))
		})
	}
}

// Guards against updates that repeat what did not change, which would cost each VM a pass
// over the whole list for each change, and against an update that loses the last state of
// an object that changed several times within one response.
func TestUpdatesHoldOnlyChanges(t *testing.T) {
	g := NewWithT(t)
	deleted := func(key string) keeper.Object { return keeper.Object{Key: key, Revision: 4, Deleted: true} }
	a, b := object("k/a", 3), object("k/b", 4)
	s := &fakeStore{lists: []*keeper.Page{{Revision: 4, Objects: []keeper.Object{a, b}}, {Revision: 30, Objects: []keeper.Object{b}}}, watches: []*keeper.Page{
		{Revision: 9, Objects: []keeper.Object{object("k/a", 8), object("k/a", 7), object("k/c", 5), deleted("k/c"), deleted("k/b"), object("k/b", 9)}},
		{Revision: 11, Objects: []keeper.Object{deleted("k/b")}},
		{TooOld: true},
	}}
	_, updates := follow(t, s, nil)
	g.Expect(updates).To(Equal([]versioner.Update{
		{Revision: 4, Objects: []keeper.Object{a, b}, Whole: true},
		{Revision: 9, Objects: []keeper.Object{object("k/a", 8), object("k/b", 9)}, Removed: []string{"k/c"}},
		{Revision: 11, Objects: []keeper.Object{}, Removed: []string{"k/b"}},
		{Revision: 30, Objects: []keeper.Object{b}, Whole: true},
	}))
}

// A VM that suspended its calls to the store must list all objects when it
// resumes, since the store may have discarded the history in between.
func TestSuspend(t *testing.T) {
	g := NewWithT(t)
	s := &fakeStore{lists: []*keeper.Page{{Revision: 4, Objects: []keeper.Object{object("k/a", 3)}}, {Revision: 30, Objects: []keeper.Object{object("k/b", 29)}}}}
	calls := 0
	got, _ := follow(t, s, func(time.Time) time.Duration {
		calls++
		return suspensionWhile(calls < 10)
	})
	g.Expect(got).To(Equal(map[string]uint64{"k/b": 29}))
	g.Expect(s.listed).To(Equal(2))
}

// suspensionWhile returns a suspension of a second while a condition holds.
func suspensionWhile(holds bool) time.Duration {
	if holds {
		return time.Second
	}
	return 0
}

// Guards against a VM that relied on others, has learnt nothing for too long, and then lets
// others of its zone go first, or does not retry soon when its connection is a dead one.
func TestOutdatedObjectsAreReadAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		start := time.Now()
		outdatedAt := start.Add(1850 * time.Millisecond)
		s := &fakeStore{lists: []*keeper.Page{nil, {Revision: 9, Objects: []keeper.Object{object("k/a", 8)}}}}
		ctx, cancel := context.WithCancel(t.Context())
		var verified []time.Duration
		f := watcher.Watcher{Store: s, Prefix: "k/", Wait: func() time.Duration { return time.Second }, Clock: timekeeper.ClockFunc(time.Now),
			OnStoreCall: func(time.Time, error) {}, Apply: func(versioner.Update) {}, KnownElsewhere: func() bool { return true },
			OnVerified: func(asOf time.Time) { verified = append(verified, asOf.Sub(start)) },
			MaxBackoff: func(time.Time) time.Duration { return 7200 * time.Millisecond },
			// The suspension ends before the objects are outdated, as when other VMs report a failure.
			Suspend:  func(now time.Time) time.Duration { return max(outdatedAt.Sub(now)-300*time.Millisecond, 0) },
			MaxDelay: func(now time.Time) time.Duration { return max(outdatedAt.Sub(now), 0) }}
		var group errgroup.Group
		group.Go(func() error { return f.Run(ctx) })
		time.Sleep(5 * time.Second)
		cancel()
		g.Expect(group.Wait()).To(Succeed())
		g.Expect(verified).NotTo(BeEmpty())
		g.Expect(verified[0]).To(BeNumerically("<=", outdatedAt.Add(250*time.Millisecond).Sub(start)))
		// Each watch without a change verifies the objects as of its end.
		g.Expect(verified[2] - verified[1]).To(Equal(time.Second))
	})
}

// VMs with a longer maximum backoff call the store rarely while it does not
// respond, and not all at the same time.
func TestMaximumBackoff(t *testing.T) {
	tests := []struct {
		name     string
		limit    time.Duration
		min, max int
	}{
		{"default backoff", 0, 30, 90},
		{"long backoff, one of twelve VMs", 7200 * time.Millisecond, 2, 9},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				s := &fakeStore{lists: []*keeper.Page{{Revision: 4}}, watches: make([]*keeper.Page, 1)}
				for range 200 {
					s.lists = append(s.lists, nil)
				}
				ctx, cancel := context.WithCancel(t.Context())
				polls := 0
				f := watcher.Watcher{Store: s, Prefix: "k/", Wait: func() time.Duration { return 4 * time.Second }, Clock: timekeeper.ClockFunc(time.Now),
					OnStoreCall: func(time.Time, error) {}, Apply: func(versioner.Update) {},
					MaxBackoff: func(time.Time) time.Duration { return tt.limit },
					Suspend: func(time.Time) time.Duration {
						polls++
						return suspensionWhile(polls < 4)
					}}
				var group errgroup.Group
				group.Go(func() error { return f.Run(ctx) })
				time.Sleep(30 * time.Second)
				cancel()
				g.Expect(group.Wait()).To(Succeed())
				g.Expect(s.listed).To(BeNumerically(">=", tt.min))
				g.Expect(s.listed).To(BeNumerically("<=", tt.max))
			})
		})
	}
}

// Guards against lists without a pause after the store was restored from a copy, whose revisions are lower: a
// watch from a revision that it does not have is answered at once.
func TestRestoredStoreIsWatchedFromItsRevision(t *testing.T) {
	g := NewWithT(t)
	s := &fakeStore{
		lists: []*keeper.Page{{Revision: 1000, Objects: []keeper.Object{object("k/a", 900)}}, {Revision: 700, Objects: []keeper.Object{object("k/a", 600)}},
			{Revision: 700}, {Revision: 700}},
		watches: []*keeper.Page{{TooOld: true}, {Revision: 701}},
	}
	_, _ = follow(t, s, nil)
	g.Expect(s.listed).To(Equal(2))
	g.Expect(s.watched[:3]).To(Equal([]uint64{1000, 700, 701}))
}
