// Package switcher performs the switchover from a leaving primary and the failover
// from a lost one.
//
// One VM at a time does so, under a lease with a fencing token. It first pauses the
// replicas, so that the former primary can acknowledge no more commits, and only
// then promotes the replica with the longest log.
package switcher

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/marigoldgauge/marigoldgauge/gossiper"
	"github.com/marigoldgauge/marigoldgauge/observer"
	"github.com/marigoldgauge/marigoldgauge/timekeeper"
)

const (
	// checkInterval is the interval at which the groups are checked.
	checkInterval = 100 * time.Millisecond
	// inspectInterval is the interval at which the VM of rank 0 queries all instances.
	inspectInterval = 5 * time.Second
	// retryDelay is the delay after a failed replacement.
	retryDelay = 400 * time.Millisecond
	// maxStandbys is the number of VMs that check the groups. The others would have
	// to wait for longer than it takes to notice that these have failed.
	maxStandbys = 8
	// maxStoreCheckers is the number of those VMs that check whether they can reach
	// the store as soon as a primary may be lost. It is low because each call has a cost.
	maxStoreCheckers = 2
	// storeCheckTimeout bounds that check, so that it ends before a primary counts as lost.
	storeCheckTimeout = lostAfter * 4 / 5
	// holderActivePeriod is the time after a write of the lease in which its holder counts as
	// active: a promotion takes less, and writes the lease at its start and its end.
	holderActivePeriod = time.Second
	// renewInterval is the interval at which a waiting holder writes the lease, so that it
	// counts as active.
	renewInterval = holderActivePeriod / 2
	// rankMaxAge is how long a rank is cached while the set of live VMs is unchanged.
	rankMaxAge = 500 * time.Millisecond
	// duty is the key by which the VMs are ranked.
	duty = "replace-primaries"
)

// Switcher replaces primaries.
type Switcher struct {
	Dependencies

	leaderlessSince map[string]time.Time
	pausedSince     map[string]pause
	supersededSince map[string]time.Time
	// storeCheckedAt is the start of the last check of the store.
	storeCheckedAt time.Time
	inspectedAt    time.Time
	inspecting     atomic.Bool
	// inspected is the index of the next group to inspect. Only inspections use it.
	inspected int
	sweep     sweep
	lastRank  cachedRank
	// lastTurn is the turn of the last known record, which was first seen at lastTurnAt.
	lastTurn   uint64
	lastTurnAt time.Time
	// renewedAt is when this VM last renewed the lease while replacements waited.
	renewedAt time.Time
	group     errgroup.Group

	mu sync.Mutex
	// replacing holds the groups whose primary is being replaced, and retryAt the earliest
	// time of the next try by group.
	replacing map[string]bool
	// promoting is the number of those that do not have a successor yet.
	promoting       int
	retryAt         map[string]time.Time
	failures        map[string]int
	pace            promotionPace
	contact         platformContact
	formerPrimaries []formerPrimary

	accepted, failed atomic.Uint64
}

// New returns a Switcher.
func New(p Dependencies) *Switcher {
	return &Switcher{Dependencies: p, leaderlessSince: map[string]time.Time{}, pausedSince: map[string]pause{}, retryAt: map[string]time.Time{}, failures: map[string]int{}, replacing: map[string]bool{}, supersededSince: map[string]time.Time{}}
}

// SetLister sets the Lister, before Run is called.
func (s *Switcher) SetLister(l Lister) { s.Lister = l }

// Promotions returns the number of promotion requests of this VM that the platform
// accepted, and the number of those that failed or were rejected.
func (s *Switcher) Promotions() (accepted, failed uint64) {
	return s.accepted.Load(), s.failed.Load()
}

// Run checks the groups until ctx ends.
func (s *Switcher) Run(ctx context.Context) error {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	defer func() { _ = s.group.Wait() }()
	for {
		select {
		case <-ticker.C:
			s.checkGroups(ctx)
		case <-ctx.Done():
			return nil
		}
	}
}

// checkGroups checks each group once and replaces primaries where needed.
func (s *Switcher) checkGroups(ctx context.Context) {
	now := s.Clock.Now()
	s.followLease(now)
	rank := s.rank(now)
	standby := rank >= 0 && rank < maxStandbys
	s.OnStandby(standby)
	if !standby {
		return
	}
	if rank == 0 && now.Sub(s.inspectedAt) >= inspectInterval {
		s.startInspection(ctx, now)
	}
	s.renewLease(ctx, now)
	candidates := s.candidates(ctx, now, rank)
	if s.isHolderActive(now) {
		return
	}
	OrderCandidates(candidates)
	for _, c := range candidates {
		if s.mayReplace(now, c.Group) {
			s.startReplacement(ctx, c.Group, c.Decision)
		}
	}
}

// candidates returns the groups whose primary is to be replaced, except those that are being
// replaced.
func (s *Switcher) candidates(ctx context.Context, now time.Time, rank int) []Candidate {
	var out []Candidate
	votes := sync.OnceValue(func() gossiper.VoteTotals { return s.Fleet.VoteTotals(now) })
	suspects := s.suspects(now, rank)
	if rank < maxStoreCheckers {
		s.sweepPrimaries(now, suspects)
	}
	for _, p := range suspects {
		if s.isReplacing(p.Group) {
			continue
		}
		if rank < maxStoreCheckers && NeedsStoreCheck(now, p.UnservedSince, s.storeCheckedAt) {
			s.storeCheckedAt = now
			s.checkStore(ctx)
		}
		view := s.view(now, p, rank, votes)
		if decision := DecideReplacement(now, view); decision != Keep {
			out = append(out, Candidate{Group: p.Group, Decision: decision, Reports: view.LostVotes, Failures: s.failureCount(p.Group), Since: timekeeper.Later(p.UnservedSince, view.LeaderlessSince)})
		}
	}
	return out
}

// startInspection inspects all instances in the background, unless the last inspection is
// still in progress. Instances that do not respond hold it up.
func (s *Switcher) startInspection(ctx context.Context, now time.Time) {
	if s.inspecting.Swap(true) {
		return
	}
	s.inspectedAt = now
	s.group.Go(func() error {
		defer s.inspecting.Store(false)
		s.inspect(ctx)
		return nil
	})
}

// NeedsStoreCheck reports whether to check the store for a primary that has not served since a
// time, zero while it does. Primaries that are lost at about the same time share a check.
func NeedsStoreCheck(now, unservedSince, lastCheck time.Time) bool {
	return !unservedSince.IsZero() && lastCheck.Before(unservedSince) && now.Sub(lastCheck) >= storeCheckTimeout
}

// checkStore checks, as soon as a primary may be lost, whether this VM could acquire
// the lease. A VM that has suspended its calls to the store may not know that the
// store refuses it, and would otherwise notice only when it has to act.
func (s *Switcher) checkStore(ctx context.Context) {
	s.group.Go(func() error {
		ctx, cancel := context.WithTimeout(ctx, storeCheckTimeout)
		defer cancel()
		_, _, err := s.Lease.Read(ctx)
		s.reportStore(err)
		if err != nil {
			s.Fleet.SendNow()
		}
		return nil
	})
}

// findInstance returns the instance with the given id.
func findInstance(list []observer.Instance, id string) (observer.Instance, bool) {
	n := slices.IndexFunc(list, func(i observer.Instance) bool { return i.ID == id })
	if n < 0 {
		return observer.Instance{}, false
	}
	return list[n], true
}
