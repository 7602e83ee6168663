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

// follow runs a Watcher on a fake store for 20 s and returns the revisions of
// the last copy by key.
func follow(t *testing.T, s *fakeStore, hold func(now time.Time) bool) map[string]uint64 {
	got := map[string]uint64{}
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := watcher.Watcher{Store: s, Prefix: "k/", Wait: func() time.Duration { return 4 * time.Second }, Clock: timekeeper.ClockFunc(time.Now), Suspend: hold,
			OnStoreCall: func(time.Time, error) {},
			Apply: func(_ uint64, objects map[string]keeper.Object) {
				clear(got)
				for key, o := range objects {
					got[key] = o.Revision
				}
			}}
		var group errgroup.Group
		group.Go(func() error { return f.Run(ctx) })
		time.Sleep(20 * time.Second)
		cancel()
		NewWithT(t).Expect(group.Wait()).To(Succeed())
	})
	return got
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
			g.Expect(follow(t, &tt.store, nil)).To(Equal(tt.want))
			g.Expect(tt.store.listed).To(Equal(tt.listed))
		})
	}
}

// A VM that suspended its calls to the store must list all objects when it
// resumes, since the store may have discarded the history in between.
func TestSuspend(t *testing.T) {
	g := NewWithT(t)
	s := &fakeStore{lists: []*keeper.Page{{Revision: 4, Objects: []keeper.Object{object("k/a", 3)}}, {Revision: 30, Objects: []keeper.Object{object("k/b", 29)}}}}
	calls := 0
	got := follow(t, s, func(time.Time) bool {
		calls++
		return calls < 10
	})
	g.Expect(got).To(Equal(map[string]uint64{"k/b": 29}))
	g.Expect(s.listed).To(Equal(2))
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
					OnStoreCall: func(time.Time, error) {}, Apply: func(uint64, map[string]keeper.Object) {},
					MaxBackoff: func(time.Time) time.Duration { return tt.limit },
					Suspend: func(time.Time) bool {
						polls++
						return polls < 4
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
