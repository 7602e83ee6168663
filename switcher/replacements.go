package switcher

import (
	"context"
	"time"

	"github.com/marigoldgauge/marigoldgauge/journaler"
	"github.com/marigoldgauge/marigoldgauge/timekeeper"
)

// mayReplace reports whether a replacement of the primary of a group may start: none has
// just failed, and no more are in progress than the rate of promotion requests allows.
func (s *Switcher) mayReplace(now time.Time, group string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.promoting < MaxConcurrent(s.PromotionRate, s.pace.meanDuration()) && !now.Before(s.retryAt[group])
}

// startReplacement replaces the primary of a group in the background.
func (s *Switcher) startReplacement(ctx context.Context, group string, decision Decision) {
	s.mu.Lock()
	s.replacing[group] = true
	s.promoting++
	s.mu.Unlock()
	s.group.Go(func() error {
		begun := s.Clock.Now()
		open, waited, err := s.replace(ctx, group, decision)
		s.mu.Lock()
		s.promoting--
		// Many that fail at once must not lower the concurrency of the others.
		if took := s.Clock.Now().Sub(begun) - waited; err == nil || took > s.pace.meanDuration() {
			s.pace.addDuration(took)
		}
		if err != nil {
			s.retryAt[group] = s.Clock.Now().Add(retryDelay)
			s.failures[group]++
		} else {
			delete(s.retryAt, group)
			delete(s.failures, group)
		}
		s.mu.Unlock()
		if err != nil {
			s.Journal.LogStateChange("replacement-failed", journaler.Group(group),
				journaler.F("verdict", decision), journaler.Err(err))
		} else {
			open()
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.replacing, group)
		return nil
	})
}

// renewLease renews the lease in the background while replacements that hold it wait for the
// platform's rate of requests, and announces that. Otherwise the other VMs would take this one for
// inactive: they read the record less often than it counts as active for.
func (s *Switcher) renewLease(ctx context.Context, now time.Time) {
	s.mu.Lock()
	promoting := s.promoting
	s.mu.Unlock()
	record := s.Announcer.Record()
	if promoting == 0 || record.Holder != s.Name || now.Sub(timekeeper.Later(s.lastTurnAt, s.renewedAt)) < renewInterval {
		return
	}
	s.renewedAt = now
	s.group.Go(func() error {
		written := s.Clock.Now()
		_, err := s.Lease.Acquire(ctx, nil)
		s.reportStore(err)
		if err == nil {
			s.Announcer.Announce(ctx, written, s.Lease.LastKnown())
		}
		return nil
	})
}

// failureCount returns the number of replacements of a group that failed since the last success.
func (s *Switcher) failureCount(group string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failures[group]
}

// isReplacing reports whether the primary of a group is being replaced.
func (s *Switcher) isReplacing(group string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.replacing[group]
}
