package switcher

import (
	"context"
	"sync"

	"golang.org/x/sync/errgroup"

	"github.com/marigoldgauge/marigoldgauge/journaler"
	"github.com/marigoldgauge/marigoldgauge/observer"
	"github.com/marigoldgauge/marigoldgauge/phraser"
)

// survey runs a statement on instances at once and returns what they said.
func (s *Switcher) survey(ctx context.Context, list []observer.Instance, st phraser.Statement) []Witness {
	out := make([]Witness, len(list))
	var group errgroup.Group
	var mu sync.Mutex
	for n, i := range list {
		out[n].Instance = i
		group.Go(func() error {
			asked := s.Clock.Now()
			status, err := s.Controller.Control(ctx, i, st)
			if err != nil {
				s.Journal.Belief("instance-silent", journaler.Instance(i.ID), journaler.Group(i.Group),
					journaler.F("statement", st.Kind), journaler.Err(err))
				return nil
			}
			mu.Lock()
			defer mu.Unlock()
			out[n].Status = &status
			if st.Kind == phraser.Status && s.Observer.ObserveStatus(s.Clock.Now(), asked, i, status) {
				s.announce(i, status)
			}
			return nil
		})
	}
	_ = group.Wait()
	return out
}

// announce tells of a new primary.
func (s *Switcher) announce(i observer.Instance, st phraser.InstanceStatus) {
	s.Journal.Belief("primary-changed", journaler.Group(i.Group), journaler.Primary(i.ID),
		journaler.Term(st.Term), journaler.F("position", st.Received), journaler.Source("status"))
	s.Fleet.Hurry()
}

// inspect asks all instances what they are, and mends what an unfinished
// replacement left behind: a former primary that still leads, a replica that is
// still stopped.
func (s *Switcher) inspect(ctx context.Context) {
	var group errgroup.Group
	for _, name := range s.Observer.Groups() {
		group.Go(func() error {
			s.inspectGroup(ctx, name)
			return nil
		})
	}
	_ = group.Wait()
	s.resume(ctx)
}

// inspectGroup asks the instances of one group.
func (s *Switcher) inspectGroup(ctx context.Context, name string) {
	said := s.survey(ctx, s.Observer.Instances(name), phraser.Statement{Kind: phraser.Status})
	primary, term, known := s.Observer.Primary(name)
	now := s.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range said {
		switch {
		case w.Status == nil:
		case w.Status.PausedFor == 0 || w.Status.Leads:
			delete(s.paused, w.Instance.ID)
		case s.paused[w.Instance.ID].IsZero():
			s.paused[w.Instance.ID] = now
		}
		if known && w.Status != nil && w.Status.Leads && w.Instance.ID != primary && w.Status.Term < term {
			s.stale = append(s.stale, deposed{instance: w.Instance, term: term})
		}
	}
}

// deposed is a former primary that does not know of its successor.
type deposed struct {
	instance observer.Instance
	term     uint64
}
