package switcher

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/marigoldgauge/marigoldgauge/journaler"
	"github.com/marigoldgauge/marigoldgauge/modeller"
	"github.com/marigoldgauge/marigoldgauge/observer"
)

// queryAll runs a statement on several instances concurrently and returns their
// reports.
func (s *Switcher) queryAll(ctx context.Context, list []observer.Instance, st modeller.Statement) []InstanceReport {
	out := make([]InstanceReport, len(list))
	var group errgroup.Group
	var mu sync.Mutex
	for n, i := range list {
		out[n].Instance = i
		group.Go(func() error {
			sent := s.Clock.Now()
			status, err := s.Controller.Control(ctx, i, st)
			if err != nil {
				s.Journal.LogStateChange("instance-silent", journaler.Instance(i.ID), journaler.Group(i.Group),
					journaler.F("statement", st.Kind), journaler.Err(err))
				return nil
			}
			mu.Lock()
			defer mu.Unlock()
			out[n].Status = &status
			if st.Kind == modeller.Status && s.Observer.ObserveStatus(s.Clock.Now(), sent, i, status) {
				s.announce(i, status)
			}
			return nil
		})
	}
	_ = group.Wait()
	return out
}

// announce logs a new primary and publishes it to the other VMs.
func (s *Switcher) announce(i observer.Instance, st modeller.InstanceStatus) {
	s.Journal.LogStateChange("primary-changed", journaler.Group(i.Group), journaler.Primary(i.ID),
		journaler.Term(st.Term), journaler.F("position", st.Received), journaler.Source("status"))
	s.Fleet.SendNow()
}

// maxInspected bounds the groups of one inspection beside those with an unfinished
// replacement, to 60 status requests per second.
const maxInspected = 100

// inspect queries the status of the instances and repairs the effects of an
// unfinished replacement: a former primary that still leads, or a replica that is
// still paused. Where there are many groups, each inspection takes the next of them.
func (s *Switcher) inspect(ctx context.Context) {
	var group errgroup.Group
	for _, name := range s.nextInspected() {
		group.Go(func() error {
			s.inspectGroup(ctx, name)
			return nil
		})
	}
	_ = group.Wait()
	s.repair(ctx)
}

// nextInspected returns the groups to inspect: those with a replacement that is not
// recorded as finished, and the next maxInspected groups.
func (s *Switcher) nextInspected() []string {
	groups, record := s.Observer.Groups(), s.Announcer.Record()
	if len(groups) <= maxInspected {
		return groups
	}
	out, chosen := make([]string, 0, maxInspected), make(map[string]bool, maxInspected)
	for n := range maxInspected {
		group := groups[(s.inspected+n)%len(groups)]
		out = append(out, group)
		chosen[group] = true
	}
	s.inspected = (s.inspected + maxInspected) % len(groups)
	for group, superseded := range record.Superseded {
		// A replacement in progress queries its instances itself.
		if record.Opened[group] <= superseded && !chosen[group] && !s.isReplacing(group) {
			out = append(out, group)
		}
	}
	return out
}

// inspectGroup queries the instances of one group and records those to repair.
func (s *Switcher) inspectGroup(ctx context.Context, name string) {
	reports := s.queryAll(ctx, s.Observer.Instances(name), modeller.Statement{Kind: modeller.Status})
	primary, term, known := s.Observer.Primary(name)
	now := s.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range reports {
		switch {
		case r.Status == nil:
		case r.Status.PausedTerm == 0 || r.Status.IsPrimary:
			delete(s.pausedSince, r.Instance.ID)
		case s.pausedSince[r.Instance.ID].since.IsZero():
			s.pausedSince[r.Instance.ID] = pause{instance: r.Instance, since: now}
		}
		if known && r.Status != nil && r.Status.IsPrimary && r.Instance.ID != primary && r.Status.Term < term {
			s.formerPrimaries = append(s.formerPrimaries, formerPrimary{instance: r.Instance, term: term})
		}
	}
}

// pause is a replica that is paused, with the time since which that is known.
type pause struct {
	instance observer.Instance
	since    time.Time
}

// formerPrimary is a former primary that still leads, unaware of its successor in term.
type formerPrimary struct {
	instance observer.Instance
	term     uint64
}
