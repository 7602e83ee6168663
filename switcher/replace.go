package switcher

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/marigoldgauge/marigoldgauge/journaler"
	"github.com/marigoldgauge/marigoldgauge/keeper"
	"github.com/marigoldgauge/marigoldgauge/leaser"
	"github.com/marigoldgauge/marigoldgauge/modeller"
	"github.com/marigoldgauge/marigoldgauge/observer"
	"github.com/marigoldgauge/marigoldgauge/timekeeper"
)

const (
	// termQueryTimeout bounds the first query of the terms of a group. An instance
	// that is too busy to respond reports its term when it is stopped.
	termQueryTimeout = 150 * time.Millisecond
	// promotionTimeout bounds the promotion of the successor.
	promotionTimeout = 3 * time.Second
	// promotionPollInterval is the interval at which the successor is asked whether
	// it leads.
	promotionPollInterval = 40 * time.Millisecond
	// abandonedPauseAfter is the time after which the replacement that paused a
	// replica counts as abandoned. It is longer than a replacement takes.
	abandonedPauseAfter = 6 * time.Second
)

var (
	errNoSafeSuccessor = eris.New("no instance is known to hold every acknowledged commit")
	errAlreadyReplaced = eris.New("the group already has a new primary")
	errGrantExpired    = eris.New("the grant of the lease has expired")
	errWaitedTooLong   = eris.New("the grant of the lease has expired while the promotion waited for the platform's rate")
	errNotLeading      = eris.New("the promoted instance does not lead yet")
)

// replace promotes a successor of the primary of a group, and returns a function that
// opens it for writes once no VM treats the former primary as current any more, and how long
// the promotion waited for the platform's rate of requests.
func (s *Switcher) replace(ctx context.Context, group string, v Decision) (open func(), waited time.Duration, err error) {
	formerID, formerTerm, _ := s.Observer.Primary(group)
	newest, held := s.queryTerms(ctx, group, formerID, formerTerm, v)
	if id, term, ok := s.Observer.Primary(group); ok && (term > formerTerm || (v == Leaderless && id != "")) {
		return nil, 0, errAlreadyReplaced
	}
	formerID = lastPrimary(formerID, formerTerm, newest)
	// The promotion of an earlier attempt, which paused replicas or is in the record, may still take
	// effect. No VM may write to its successor, which would not be the last.
	superseded, unsettled, previous, recorded := max(newest, held), held > newest, uint64(0), uint64(0)
	grant, err := s.Lease.Acquire(ctx, func(r *leaser.Record) {
		previous = r.Superseded[group]
		if IsUnsettled(*r, group, newest) {
			superseded, unsettled = max(superseded, r.Superseded[group]+1), true
		}
		recorded = max(r.Superseded[group], superseded)
		r.Superseded[group] = recorded
	})
	term := superseded + 1
	s.reportStore(err)
	if err != nil {
		return nil, 0, eris.Wrap(err, "acquiring the lease")
	}
	written, record := s.Clock.Now(), s.Lease.LastKnown()
	s.Journal.LogStateChange("replacement-begun", journaler.Group(group), journaler.F("verdict", v),
		journaler.F("former", formerID), journaler.Term(term), journaler.F("token", grant.Token))
	announced := make(chan struct{})
	s.group.Go(func() error {
		defer close(announced)
		s.Announcer.Announce(ctx, written, record)
		return nil
	})
	stop := stopper{s: s, group: group, former: formerID, superseded: superseded, term: term, turn: record.Writes, recordedAt: written,
		urgent: v == Lost && s.Controller.ReplicatesSynchronously(group), serving: v == Leaving, unsettled: unsettled}
	var led uint64
	for err = errWaitedTooLong; errors.Is(err, errWaitedTooLong); {
		// A replica that restarted during a long wait is no longer paused, and may have received
		// commits since: after a wait, the group is stopped again and its successor chosen anew.
		if grant, err = s.extendGrant(ctx, grant); err != nil {
			return nil, waited, err
		}
		successor, ok := stop.chooseSuccessor(ctx)
		if !ok {
			if !unsettled {
				s.resumeReplicas(ctx, grant, stop.stopped())
				s.withdrawSuperseded(ctx, group, superseded, previous)
			}
			return nil, waited, errNoSafeSuccessor
		}
		var wait time.Duration
		led, wait, err = s.promote(ctx, grant, successor, term, stop.stopNewcomers)
		waited += wait
	}
	if err != nil {
		return nil, waited, err
	}
	return func() {
		<-announced
		s.openWrites(ctx, group, led, recorded)
	}, waited, nil
}

// lastPrimary returns the id of the known primary of a term if no instance knows a newer term, and none
// otherwise: that a primary before the last one holds no more proves nothing.
func lastPrimary(id string, term, newest uint64) string {
	if newest > term {
		return ""
	}
	return id
}

// IsUnsettled reports whether an earlier attempt to replace the primary of a group may have promoted an
// instance, according to the record, though no instance is known to lead a later term than the
// newest one that its instances know.
func IsUnsettled(r leaser.Record, group string, newest uint64) bool {
	superseded := r.Superseded[group]
	return superseded > 0 && superseded >= newest && r.Opened[group] <= superseded
}

// queryTerms returns the newest term that the instances of a group know, and the latest one for
// which a replica is paused.
func (s *Switcher) queryTerms(ctx context.Context, group, formerID string, formerTerm uint64, v Decision) (newest, held uint64) {
	newest = formerTerm
	ctx, cancel := context.WithTimeout(ctx, termQueryTimeout)
	defer cancel()
	instances := s.Observer.Instances(group)
	if v == Lost {
		instances = withoutInstance(instances, formerID)
	}
	for _, r := range s.queryAll(ctx, instances, modeller.Statement{Kind: modeller.Status}) {
		if r.Status != nil {
			newest, held = max(newest, r.Status.Term), max(held, r.Status.PausedTerm)
		}
	}
	return newest, held
}

// reportStore reports whether the store responded, so that a VM that cannot reach
// the store leaves replacements to one that can.
func (s *Switcher) reportStore(err error) {
	if errors.Is(err, leaser.ErrHeld) || errors.Is(err, keeper.ErrConflict) {
		err = nil
	}
	s.OnStoreCall(s.Clock.Now(), err)
}

// withdrawSuperseded removes the record that a term is superseded after no successor was promoted.
// The terms up to the previous one stay superseded: a former primary may lead them still.
func (s *Switcher) withdrawSuperseded(ctx context.Context, group string, term, previous uint64) {
	_, err := s.Lease.Acquire(ctx, func(r *leaser.Record) {
		switch {
		case r.Superseded[group] != term:
		case previous == 0:
			delete(r.Superseded, group)
		default:
			r.Superseded[group] = previous
		}
	})
	if err != nil {
		s.Journal.LogStateChange("withdrawal-failed", journaler.Group(group), journaler.Err(err))
	}
}

// openWrites allows the primary of a term, to which an attempt that recorded another as superseded has led, to accept
// writes. The primary of a later attempt is left to that one, whose announcement may not have ended.
func (s *Switcher) openWrites(ctx context.Context, group string, term, recorded uint64) {
	primary, latest, ok := s.Observer.Primary(group)
	if !ok || latest != term {
		s.Journal.LogStateChange("opening-left", journaler.Group(group), journaler.Primary(primary), journaler.Term(latest), journaler.F("led", term))
		return
	}
	s.Observer.OpenWrites(group, term)
	s.Fleet.SendNow()
	s.Journal.LogStateChange("primary-opened", journaler.Group(group), journaler.Primary(primary), journaler.Term(term))
	reopened := false
	_, err := s.Lease.Acquire(ctx, func(r *leaser.Record) {
		if r.Superseded[group] != recorded {
			// A later attempt has begun.
			return
		}
		r.Opened[group] = max(r.Opened[group], term)
		if reopened = recorded >= term; reopened {
			// The promotion of an earlier attempt, for which the term was reserved, took no effect.
			r.Superseded[group] = term - 1
		}
	})
	if err != nil {
		// Processes that start later wait until no VM can hold an earlier view lease.
		s.Journal.LogStateChange("opening-not-recorded", journaler.Group(group), journaler.Err(err))
	} else if reopened {
		// The promotion ended no pause: the replicas were paused for a later term.
		s.queryAll(ctx, withoutInstance(s.Observer.Instances(group), primary), modeller.Statement{Kind: modeller.Resume})
		s.Announcer.Announce(ctx, s.Clock.Now(), s.Lease.LastKnown())
	}
}

// withoutInstance returns the instances except the one with the given id.
func withoutInstance(list []observer.Instance, id string) []observer.Instance {
	return slices.DeleteFunc(slices.Clone(list), func(i observer.Instance) bool { return i.ID == id })
}

// resumeReplicas ends the pause of replicas, unless another VM may have paused them since.
func (s *Switcher) resumeReplicas(ctx context.Context, grant leaser.Grant, replicas []observer.Instance) {
	if grant.Valid(s.Clock.Now()) {
		s.queryAll(ctx, replicas, modeller.Statement{Kind: modeller.Resume})
	}
}

// promote promotes the successor and waits until it leads. It returns the term that it leads, how long it
// waited for the platform's rate of requests, and errWaitedTooLong if the grant expired before any request
// took effect. Once the platform has accepted the promotion, it calls waiting again and again.
func (s *Switcher) promote(ctx context.Context, grant leaser.Grant, successor observer.Instance, term uint64, waiting func(context.Context, observer.Instance)) (led uint64, waited time.Duration, err error) {
	var deadline time.Time
	accepted, sentAny := false, false
	for ctx.Err() == nil {
		if !accepted {
			wait := s.awaitPromotion(ctx)
			waited += wait
			if deadline.IsZero() {
				deadline = s.Clock.Now().Add(promotionTimeout)
			} else {
				deadline = deadline.Add(wait)
			}
			if s.abstains(s.Clock.Now()) {
				// An extension would keep the lease from the VMs that reach the platform.
				return 0, waited, ErrPlatformUnreachable
			}
			switch {
			case grant.Valid(s.Clock.Now()):
			case sentAny:
				return 0, waited, errGrantExpired
			default:
				return 0, waited, errWaitedTooLong
			}
			err := s.sendPromotion(ctx, grant, successor, term)
			if errors.Is(err, ErrRateLimited) {
				s.delayPromotions()
				continue
			}
			accepted, sentAny = err == nil, true
		}
		sent := s.Clock.Now()
		if st, err := s.Controller.Control(ctx, successor, modeller.Statement{Kind: modeller.Status}); err == nil && st.IsPrimary {
			if s.Observer.ObserveStatus(s.Clock.Now(), sent, successor, st) {
				s.announce(successor, st)
			}
			return st.Term, waited, nil
		}
		if !s.Clock.Now().Before(deadline) {
			break
		}
		waiting(ctx, successor)
		timekeeper.Sleep(ctx, promotionPollInterval)
	}
	return 0, waited, errNotLeading
}

// sendPromotion sends the platform one promotion request.
func (s *Switcher) sendPromotion(ctx context.Context, grant leaser.Grant, successor observer.Instance, term uint64) error {
	err := s.Promoter.Promote(ctx, grant, successor.Group, successor.ID)
	s.mu.Lock()
	abstains := s.contact.record(s.Clock.Now(), err)
	s.mu.Unlock()
	if abstains {
		s.Journal.LogStateChange("platform-unreachable", journaler.F("leaves-replacements-for", abstentionPeriod))
	}
	switch {
	case err == nil:
		s.accepted.Add(1)
	case !errors.Is(err, ErrRateLimited):
		s.failed.Add(1)
	}
	fields := []journaler.Field{journaler.Group(successor.Group), journaler.Instance(successor.ID),
		journaler.Term(term), journaler.F("token", grant.Token), journaler.F("accepted", err == nil)}
	if err != nil {
		fields = append(fields, journaler.Err(err))
	}
	s.Journal.LogStateChange("promotion-sent", fields...)
	return err
}

// extendGrant returns a valid grant with the token of the given one, which may have expired
// while the promotion waited for the platform's rate of requests. After a change of the token,
// another holder may have promoted a successor with a longer log.
func (s *Switcher) extendGrant(ctx context.Context, grant leaser.Grant) (leaser.Grant, error) {
	if grant.Valid(s.Clock.Now()) {
		return grant, nil
	}
	extended, err := s.Lease.Acquire(ctx, nil)
	s.reportStore(err)
	if err != nil {
		return grant, eris.Wrap(err, "extending the lease")
	}
	if extended.Token != grant.Token || !extended.Valid(s.Clock.Now()) {
		return grant, errGrantExpired
	}
	return extended, nil
}

// repair steps down former primaries that still lead and resumes replicas that an
// unfinished replacement left paused.
func (s *Switcher) repair(ctx context.Context) {
	s.mu.Lock()
	former := s.formerPrimaries
	s.formerPrimaries = nil
	s.mu.Unlock()
	for _, d := range former {
		s.queryAll(ctx, []observer.Instance{d.instance}, modeller.Statement{Kind: modeller.StepDown, Term: d.term})
	}
	now := s.Clock.Now()
	for id, p := range s.pausedSince {
		group := p.instance.Group
		if _, _, ok := s.Observer.Primary(group); !ok || s.isReplacing(group) {
			continue
		}
		if now.Sub(p.since) < abandonedPauseAfter {
			continue
		}
		if _, listed := findInstance(s.Observer.Instances(group), id); !listed {
			delete(s.pausedSince, id)
			continue
		}
		// Only the holder of the lease knows that no replacement is in progress.
		if _, err := s.Lease.Acquire(ctx, nil); err != nil {
			return
		}
		if s.isReplacing(group) || s.Observer.IsSuperseded(group) {
			continue
		}
		s.queryAll(ctx, []observer.Instance{p.instance}, modeller.Statement{Kind: modeller.Resume})
		delete(s.pausedSince, id)
	}
}
