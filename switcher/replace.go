package switcher

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/marigoldgauge/marigoldgauge/clocker"
	"github.com/marigoldgauge/marigoldgauge/journaler"
	"github.com/marigoldgauge/marigoldgauge/keeper"
	"github.com/marigoldgauge/marigoldgauge/leaser"
	"github.com/marigoldgauge/marigoldgauge/observer"
	"github.com/marigoldgauge/marigoldgauge/phraser"
)

const (
	// surveyWithin bounds the first look at the terms of a group; an instance
	// that is too busy to answer says its term when it is stopped.
	surveyWithin = 150 * time.Millisecond
	// promotedWithin is how long an instance may take to lead once it was named.
	promotedWithin = 3 * time.Second
	// promotedPoll is how often it is asked whether it leads.
	promotedPoll = 40 * time.Millisecond
	// pausedFor is the time after which a stopped replica belongs to a
	// replacement that its VM has given up: longer than a replacement takes.
	pausedFor = 6 * time.Second
)

var (
	errUnsafe   = eris.New("no instance is known to hold every acknowledged commit")
	errSettled  = eris.New("a primary of a later term leads")
	errExpired  = eris.New("the right to act has ended")
	errUnproved = eris.New("the instance does not lead yet")
)

// replace lets another instance lead a group.
func (s *Switcher) replace(ctx context.Context, group string, v Verdict) error {
	instances := s.Observer.Instances(group)
	formerID, known, _ := s.Observer.Primary(group)
	newest := known
	quick, cancel := context.WithTimeout(ctx, surveyWithin)
	defer cancel()
	asked := instances
	if v == Lost {
		asked = others(instances, formerID)
	}
	for _, w := range s.survey(quick, asked, phraser.Statement{Kind: phraser.Status}) {
		if w.Status != nil {
			newest = max(newest, w.Status.Term, w.Status.PausedFor)
		}
	}
	if id, term, ok := s.Observer.Primary(group); ok && (term > known || (v == Leaderless && id != "")) {
		return errSettled
	}
	term := newest + 1
	grant, err := s.Lease.Acquire(ctx, func(r *leaser.Record) { r.Superseded[group] = max(r.Superseded[group], known) })
	s.noteStore(err)
	if err != nil {
		return eris.Wrap(err, "taking the duty")
	}
	written, record := s.Clock.Now(), s.Lease.Known()
	s.Journal.Belief("replacement-begun", journaler.Group(group), journaler.F("verdict", v),
		journaler.F("former", formerID), journaler.Term(term), journaler.F("token", grant.Token))
	announced := make(chan struct{})
	s.group.Go(func() error {
		defer close(announced)
		s.Announcer.Announce(ctx, written, record)
		return nil
	})
	former, replicas := s.stop(ctx, instances, formerID, term, v == Lost && s.Controller.Syncs(group))
	next, ok := Elect(former, replicas)
	if !ok {
		s.release(ctx, replicas)
		s.withdraw(ctx, group, known)
		return errUnsafe
	}
	if err := s.promote(ctx, grant, next, term); err != nil {
		return err
	}
	<-announced
	s.open(ctx, group)
	return nil
}

// noteStore tells whether the store answered, so that a VM that is cut off from it
// leaves the duty to one that is not.
func (s *Switcher) noteStore(err error) {
	if errors.Is(err, leaser.ErrHeld) || errors.Is(err, keeper.ErrConflict) {
		err = nil
	}
	s.Reached(s.Clock.Now(), err)
}

// withdraw takes back that a term is superseded, as no successor was named.
func (s *Switcher) withdraw(ctx context.Context, group string, term uint64) {
	_, err := s.Lease.Acquire(ctx, func(r *leaser.Record) {
		if r.Superseded[group] == term {
			delete(r.Superseded, group)
		}
	})
	if err != nil {
		s.Journal.Belief("withdrawal-failed", journaler.Group(group), journaler.Err(err))
	}
}

// open lets the new primary of a group take writes.
func (s *Switcher) open(ctx context.Context, group string) {
	primary, term, ok := s.Observer.Primary(group)
	if !ok {
		return
	}
	s.Observer.Open(group, term)
	s.Fleet.Hurry()
	s.Journal.Belief("primary-opened", journaler.Group(group), journaler.Primary(primary), journaler.Term(term))
	if _, err := s.Lease.Acquire(ctx, func(r *leaser.Record) { r.Opened[group] = term }); err != nil {
		// Processes that start later wait until nobody can hold an old lease.
		s.Journal.Belief("opening-not-recorded", journaler.Group(group), journaler.Err(err))
	}
}

// stop keeps the former primary from acknowledging anything, and returns what the
// instances said. One that is lost and commits nothing without a replica is told as
// well, but not waited for once all replicas are stopped.
func (s *Switcher) stop(ctx context.Context, instances []observer.Instance, formerID string, term uint64, harmless bool) (*Witness, []Witness) {
	stepped := make(chan *Witness, 1)
	s.group.Go(func() error {
		var w *Witness
		if former, ok := find(instances, formerID); ok {
			w = &s.survey(ctx, []observer.Instance{former}, phraser.Statement{Kind: phraser.StepDown, Term: term})[0]
		}
		stepped <- w
		return nil
	})
	replicas := s.survey(ctx, others(instances, formerID), phraser.Statement{Kind: phraser.Pause, Term: term})
	if harmless && len(replicas) > 0 && allAnswered(replicas) {
		return nil, replicas
	}
	return <-stepped, replicas
}

// others returns the instances but for the one with an id.
func others(list []observer.Instance, id string) []observer.Instance {
	return slices.DeleteFunc(slices.Clone(list), func(i observer.Instance) bool { return i.ID == id })
}

// release lets the replicas receive again.
func (s *Switcher) release(ctx context.Context, replicas []Witness) {
	var list []observer.Instance
	for _, w := range replicas {
		if w.Status != nil {
			list = append(list, w.Instance)
		}
	}
	s.survey(ctx, list, phraser.Statement{Kind: phraser.Resume})
}

// promote lets an instance lead and waits until it does.
func (s *Switcher) promote(ctx context.Context, grant leaser.Grant, next observer.Instance, term uint64) error {
	until := s.Clock.Now().Add(promotedWithin)
	named := false
	for s.Clock.Now().Before(until) && ctx.Err() == nil {
		if !named {
			if !grant.Valid(s.Clock.Now()) {
				return errExpired
			}
			err := s.Promoter.Promote(ctx, grant, next.Group, next.ID)
			named = err == nil
			if named {
				s.accepted.Add(1)
			} else {
				s.failed.Add(1)
			}
			fields := []journaler.Field{journaler.Group(next.Group), journaler.Instance(next.ID),
				journaler.Term(term), journaler.F("token", grant.Token), journaler.F("accepted", named)}
			if err != nil {
				fields = append(fields, journaler.Err(err))
			}
			s.Journal.Belief("promotion-sent", fields...)
		}
		asked := s.Clock.Now()
		if st, err := s.Controller.Control(ctx, next, phraser.Statement{Kind: phraser.Status}); err == nil && st.Leads {
			if s.Observer.ObserveStatus(s.Clock.Now(), asked, next, st) {
				s.announce(next, st)
			}
			return nil
		}
		clocker.Sleep(ctx, promotedPoll)
	}
	return errUnproved
}

// resume mends what unfinished replacements left behind.
func (s *Switcher) resume(ctx context.Context) {
	s.mu.Lock()
	stale := s.stale
	s.stale = nil
	s.mu.Unlock()
	for _, d := range stale {
		s.survey(ctx, []observer.Instance{d.instance}, phraser.Statement{Kind: phraser.StepDown, Term: d.term})
	}
	now := s.Clock.Now()
	for _, group := range s.Observer.Groups() {
		if _, _, ok := s.Observer.Primary(group); !ok {
			continue
		}
		for _, i := range s.Observer.Instances(group) {
			since, ok := s.paused[i.ID]
			if !ok || now.Sub(since) < pausedFor {
				continue
			}
			// Only the holder of the duty knows that no replacement is under way.
			if _, err := s.Lease.Acquire(ctx, nil); err != nil {
				return
			}
			s.survey(ctx, []observer.Instance{i}, phraser.Statement{Kind: phraser.Resume})
			delete(s.paused, i.ID)
		}
	}
}
