// Package switcher replaces primaries that are leaving or lost.
//
// One VM at a time does so, under a lease with a fencing token. It stops the
// replicas first, so that the former primary can acknowledge nothing more, and
// only then lets the one with the longest log lead.
package switcher

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/marigoldgauge/marigoldgauge/gossiper"
	"github.com/marigoldgauge/marigoldgauge/journaler"
	"github.com/marigoldgauge/marigoldgauge/observer"
	"github.com/marigoldgauge/marigoldgauge/placer"
)

const (
	// tick is how often the groups are looked at.
	tick = 100 * time.Millisecond
	// inspectEvery is how often the first VM asks all instances what they are.
	inspectEvery = 5 * time.Second
	// retryAfter is the pause after a replacement that failed.
	retryAfter = 400 * time.Millisecond
	// standbys is the number of VMs that look at the groups; the others would wait
	// for longer than it takes to notice that these are gone.
	standbys = 8
	// checkers is the number of those that find out whether the store answers them
	// as soon as a primary may be lost; each call has its price.
	checkers = 2
	// checkWithin bounds that: it ends before a primary counts as lost.
	checkWithin = lostAfter * 4 / 5
	// rankAge is how long a VM's place counts unless other VMs are alive.
	rankAge = 500 * time.Millisecond
	// duty names the duty for the ranking of the VMs.
	duty = "replace-primaries"
)

// Switcher replaces primaries.
type Switcher struct {
	Parts

	leaderless map[string]time.Time
	paused     map[string]time.Time
	retry      map[string]time.Time
	begun      map[string]time.Time
	// checked is the failure of each group's primary for which the store was tried.
	checked   map[string]time.Time
	inspected time.Time
	ranked    ranked
	group     errgroup.Group

	mu    sync.Mutex
	stale []deposed

	accepted, failed atomic.Uint64
}

// New returns a Switcher.
func New(p Parts) *Switcher {
	return &Switcher{Parts: p, leaderless: map[string]time.Time{}, paused: map[string]time.Time{}, retry: map[string]time.Time{}, begun: map[string]time.Time{}, checked: map[string]time.Time{}}
}

// Promotions returns how many promotions the platform accepted from this VM,
// and how many calls failed or were not accepted.
func (s *Switcher) Promotions() (accepted, failed uint64) {
	return s.accepted.Load(), s.failed.Load()
}

// Run looks after the groups until ctx ends.
func (s *Switcher) Run(ctx context.Context) error {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	defer func() { _ = s.group.Wait() }()
	for {
		select {
		case <-ticker.C:
			s.look(ctx)
		case <-ctx.Done():
			return nil
		}
	}
}

// look looks at each group once.
func (s *Switcher) look(ctx context.Context) {
	now := s.Clock.Now()
	rank := s.rank(now)
	if rank < 0 || rank >= standbys {
		return
	}
	if rank == 0 && now.Sub(s.inspected) >= inspectEvery {
		s.inspected = now
		s.inspect(ctx)
	}
	for _, group := range s.Observer.Groups() {
		now = s.Clock.Now()
		if now.Before(s.retry[group]) {
			continue
		}
		view := s.view(now, group, rank)
		if rank < checkers {
			s.check(ctx, group, view.Unserved)
		}
		verdict := Decide(now, view)
		if verdict == Keep {
			continue
		}
		if err := s.replace(ctx, group, verdict); err != nil {
			s.Journal.Belief("replacement-failed", journaler.Group(group),
				journaler.F("verdict", verdict), journaler.Err(err))
			s.retry[group] = s.Clock.Now().Add(retryAfter)
		}
	}
}

// check finds out, as soon as a primary may be lost, whether this VM could take
// the duty: a VM that leaves the store to others may not know that the store
// turns it away, and would find out only when it acts.
func (s *Switcher) check(ctx context.Context, group string, unserved time.Time) {
	if unserved.IsZero() || s.checked[group].Equal(unserved) {
		return
	}
	s.checked[group] = unserved
	s.group.Go(func() error {
		ctx, cancel := context.WithTimeout(ctx, checkWithin)
		defer cancel()
		_, _, err := s.Lease.Look(ctx)
		s.noteStore(err)
		if err != nil {
			s.Fleet.Hurry()
		}
		return nil
	})
}

// rank returns this VM's place among those that may replace primaries, or -1.
func (s *Switcher) rank(now time.Time) int {
	if !s.Fit(now) {
		return -1
	}
	holder, generation := s.Announcer.Record().Holder, s.Fleet.Generation(now)
	if r := s.ranked; r.holder != holder || r.generation != generation || now.Sub(r.at) >= rankAge {
		place := slices.Index(order(gossiper.Reaching(s.Name, s.Fleet.Alive(now)), holder), s.Name)
		s.ranked = ranked{place: place, holder: holder, generation: generation, at: now}
	}
	return s.ranked.place
}

// ranked is this VM's place as of a time.
type ranked struct {
	place      int
	holder     string
	generation uint64
	at         time.Time
}

// order ranks the VMs that may replace primaries. The one that holds the duty
// goes first: another would have to wait until its lease has run out.
func order(names []string, holder string) []string {
	ranked := placer.Rank(duty, names)
	if n := slices.Index(ranked, holder); n > 0 {
		ranked = slices.Insert(slices.Delete(ranked, n, n+1), 0, holder)
	}
	return ranked
}

// view returns what is known of a group.
func (s *Switcher) view(now time.Time, group string, rank int) View {
	primary, term, known := s.Observer.Primary(group)
	v := View{Instances: s.Observer.Instances(group), Primary: primary, Known: known, Unserved: s.Observer.Unreached(group), Rank: rank}
	if known {
		delete(s.leaderless, group)
	} else if _, ok := s.leaderless[group]; !ok {
		s.leaderless[group] = now
	}
	v.Leaderless = s.leaderless[group]
	v.Begun, v.Holds = s.begunSince(now, group, term)
	if !v.Unserved.IsZero() {
		v.LostVotes, v.ServedVotes = s.Fleet.Votes(now, group, term)
	}
	return v
}

// begunSince returns since when the record is known to end a term, and whether
// this VM holds the duty.
func (s *Switcher) begunSince(now time.Time, group string, term uint64) (since time.Time, holds bool) {
	record := s.Announcer.Record()
	if term == 0 || record.Superseded[group] < term {
		delete(s.begun, group)
		return time.Time{}, false
	}
	if s.begun[group].IsZero() {
		s.begun[group] = now
	}
	return s.begun[group], record.Holder == s.Name
}

// find returns the instance with an id.
func find(list []observer.Instance, id string) (observer.Instance, bool) {
	n := slices.IndexFunc(list, func(i observer.Instance) bool { return i.ID == id })
	if n < 0 {
		return observer.Instance{}, false
	}
	return list[n], true
}
