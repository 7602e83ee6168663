package follower_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/marigoldgauge/marigoldgauge/clocker"
	"github.com/marigoldgauge/marigoldgauge/follower"
	"github.com/marigoldgauge/marigoldgauge/keeper"
)

// script is a store that answers by a list of pages; a nil page is no answer.
type script struct {
	lists, watches []*keeper.Page
	listed         int
	watched        []uint64
}

func (s *script) List(context.Context, string) (keeper.Page, error) {
	s.listed++
	return next(&s.lists)
}

func (s *script) Watch(ctx context.Context, _ string, after uint64, wait time.Duration) (keeper.Page, error) {
	s.watched = append(s.watched, after)
	if len(s.watches) == 0 {
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
		return keeper.Page{Revision: after}, ctx.Err()
	}
	return next(&s.watches)
}

func next(pages *[]*keeper.Page) (keeper.Page, error) {
	p := (*pages)[0]
	*pages = (*pages)[1:]
	if p == nil {
		return keeper.Page{}, eris.New("no answer")
	}
	return *p, nil
}

func object(key string, revision uint64) keeper.Object {
	return keeper.Object{Key: key, Revision: revision}
}

// follow follows a script for a while and returns the keys of the last copy.
func follow(t *testing.T, s *script, hold func(now time.Time) bool) map[string]uint64 {
	got := map[string]uint64{}
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := follower.Follower{Store: s, Prefix: "k/", Wait: func() time.Duration { return 4 * time.Second }, Clock: clocker.Func(time.Now), Hold: hold,
			Reached: func(time.Time, error) {},
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

func TestFollower(t *testing.T) {
	a, b, late := object("k/a", 3), object("k/b", 4), object("k/a", 2)
	gone := object("k/a", 9)
	gone.Deleted = true
	first := &keeper.Page{Revision: 4, Objects: []keeper.Object{a}}
	tests := []struct {
		name   string
		script script
		want   map[string]uint64
		listed int
	}{
		{"changes and deletions", script{lists: []*keeper.Page{first}, watches: []*keeper.Page{
			{Revision: 5, Objects: []keeper.Object{b}}, {Revision: 9, Objects: []keeper.Object{gone}}}}, map[string]uint64{"k/b": 4}, 1},
		{"an older change does not come back", script{lists: []*keeper.Page{first}, watches: []*keeper.Page{
			{Revision: 5, Objects: []keeper.Object{late}}}}, map[string]uint64{"k/a": 3}, 1},
		{"the history is gone", script{lists: []*keeper.Page{first, {Revision: 20, Objects: []keeper.Object{b}}}, watches: []*keeper.Page{
			{TooOld: true}}}, map[string]uint64{"k/b": 4}, 2},
		{"no answer at first", script{lists: []*keeper.Page{nil, nil, first}}, map[string]uint64{"k/a": 3}, 3},
		{"a watch is cut off", script{lists: []*keeper.Page{first}, watches: []*keeper.Page{nil,
			{Revision: 5, Objects: []keeper.Object{b}}}}, map[string]uint64{"k/a": 3, "k/b": 4}, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := NewWithT(t)
			g.Expect(follow(t, &tt.script, nil)).To(Equal(tt.want))
			g.Expect(tt.script.listed).To(Equal(tt.listed))
		})
	}
}

// A VM that leaves the store to others reads the whole list when it comes back,
// since the history in between may be gone.
func TestHold(t *testing.T) {
	g := NewWithT(t)
	s := &script{lists: []*keeper.Page{{Revision: 4, Objects: []keeper.Object{object("k/a", 3)}}, {Revision: 30, Objects: []keeper.Object{object("k/b", 29)}}}}
	calls := 0
	got := follow(t, s, func(time.Time) bool {
		calls++
		return calls < 10
	})
	g.Expect(got).To(Equal(map[string]uint64{"k/b": 29}))
	g.Expect(s.listed).To(Equal(2))
}

// Those that leave the store to others call it rarely while it does not answer,
// and not all at the same moment.
func TestLongPausesForOthers(t *testing.T) {
	tests := []struct {
		name        string
		most        time.Duration
		fewest, all int
	}{
		{"one that watches", 0, 30, 90},
		{"one of twelve others", 7200 * time.Millisecond, 2, 9},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				s := &script{lists: []*keeper.Page{{Revision: 4}}, watches: make([]*keeper.Page, 1)}
				for range 200 {
					s.lists = append(s.lists, nil)
				}
				ctx, cancel := context.WithCancel(t.Context())
				looks := 0
				f := follower.Follower{Store: s, Prefix: "k/", Wait: func() time.Duration { return 4 * time.Second }, Clock: clocker.Func(time.Now),
					Reached: func(time.Time, error) {}, Apply: func(uint64, map[string]keeper.Object) {},
					Most: func(time.Time) time.Duration { return tt.most },
					Hold: func(time.Time) bool {
						looks++
						return looks < 4
					}}
				var group errgroup.Group
				group.Go(func() error { return f.Run(ctx) })
				time.Sleep(30 * time.Second)
				cancel()
				g.Expect(group.Wait()).To(Succeed())
				g.Expect(s.listed).To(BeNumerically(">=", tt.fewest))
				g.Expect(s.listed).To(BeNumerically("<=", tt.all))
			})
		})
	}
}
