package switcher

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/marigoldgauge/marigoldgauge/journaler"
	"github.com/marigoldgauge/marigoldgauge/modeller"
	"github.com/marigoldgauge/marigoldgauge/observer"
	"github.com/marigoldgauge/marigoldgauge/timekeeper"
)

const (
	// sealTimeout bounds the wait for the floors of the other VMs, where the instances do not show
	// that a successor holds every acknowledged commit.
	sealTimeout = 300 * time.Millisecond
	// silenceGrace is how long instances that do not respond are asked again where that may lead to
	// another successor. A busy instance responds again by then.
	silenceGrace = 500 * time.Millisecond
	// relistTimeout bounds the reading of the list of instances.
	relistTimeout = 3 * time.Second
	// sealPollInterval is the interval at which the floors are looked at.
	sealPollInterval = 10 * time.Millisecond
	// newcomerInterval is the interval at which instances that came back are stopped, until the
	// successor leads.
	newcomerInterval = 200 * time.Millisecond
)

// stopper stops the instances of a group, so that its former primary can acknowledge nothing more,
// until the successor leads.
type stopper struct {
	s             *Switcher
	group, former string
	// superseded is the term up to which the record names the primaries as superseded, and term the
	// one for which the group is stopped.
	superseded, term uint64
	// turn is that of the record.
	turn uint64
	// urgent reports that the former primary is lost and commits nothing without a replica, so that
	// its response matters only if the replicas do not suffice.
	urgent bool

	// serving reports that the former primary serves until it is replaced, and unsettled that an
	// earlier attempt may have promoted an instance that is not known to lead.
	serving, unsettled bool

	// recordedAt is when the record had been written.
	recordedAt time.Time
	// relisted reports that the list of instances was read after the records of silent VMs had become too old.
	relisted bool
	// begunAt is when the group was first asked to stop.
	begunAt   time.Time
	evidence  Evidence
	checkedAt time.Time

	mu sync.Mutex
	// stopping reports that newcomers are being stopped, and newcomers are those that were.
	stopping  bool
	newcomers []observer.Instance
}

// chooseSuccessor stops the group and returns the instance to promote, or false if none is known
// to hold every acknowledged commit.
//
// A VM may have seen commits acknowledged beyond the longest log although all replicas are stopped:
// the position of a response covers commits that are still under way, but a replica that no VM
// knows may also have received them. Such a replica is given time to appear, and one that does not
// respond is asked again.
func (p *stopper) chooseSuccessor(ctx context.Context) (observer.Instance, bool) {
	if p.begunAt.IsZero() {
		p.begunAt = p.s.Clock.Now()
	}
	if p.serving {
		p.handOver(ctx)
	}
	for {
		successor, ground, ok := p.stop(ctx)
		grace := silenceGrace
		if ground == AllStopped || ground == OthersEnded {
			grace = observer.UnlistedGrace
		}
		if p.evidence.isConclusive(ground) || p.s.Clock.Now().Sub(p.begunAt) >= grace {
			p.log(successor, ground)
			return successor, ok
		}
		if !timekeeper.Sleep(ctx, newcomerInterval) {
			return observer.Instance{}, false
		}
	}
}

// stop stops the group and returns the instance to promote with the ground for that, as
// ChooseSuccessor does.
func (p *stopper) stop(ctx context.Context) (observer.Instance, Ground, bool) {
	s := p.s
	instances, departed := s.Observer.Instances(p.group), s.Observer.Departed(s.Clock.Now(), p.group)
	stepped, pausedDeparted := make(chan *InstanceReport, 1), make(chan []DepartedReport, 1)
	s.group.Go(func() error {
		stepped <- p.stepDown(ctx, instances, departed)
		close(stepped)
		return nil
	})
	s.group.Go(func() error {
		pausedDeparted <- p.pauseDeparted(ctx, instances, departed)
		return nil
	})
	p.evidence = Evidence{Term: p.term, Unsettled: p.unsettled, FormerServes: p.serving, FormerAbsence: p.formerAbsence(instances, departed), Departed: p.unreported(instances, departed)}
	p.evidence.Replicas = p.pause(ctx, withoutInstance(instances, p.former))
	if !p.urgent {
		p.evidence.Former = <-stepped
	}
	p.updateFloor()
	successor, ground, ok := ChooseSuccessor(p.evidence)
	if ground != FormerSteppedDown && !p.isCovered() {
		// A VM that has not stated its floor yet may have seen a commit acknowledged that none of the
		// instances holds, or may still take one for certain until its record is too old for that.
		p.awaitFloors(ctx, p.floorsDeadline(s.Clock.Now()), p.isSettled, stepped)
		if !p.evidence.formerHoldsAll() && !p.relist(ctx) {
			return observer.Instance{}, "", false
		}
		// An instance that has started meanwhile may have received commits.
		p.pauseArrived(ctx, instances)
		successor, ground, ok = ChooseSuccessor(p.evidence)
	}
	if !p.evidence.isConclusive(ground) && ctx.Err() == nil {
		if p.urgent && p.evidence.Former == nil {
			p.evidence.Former = <-stepped
		}
		p.evidence.Departed = <-pausedDeparted
		p.updateFloor()
		successor, ground, ok = ChooseSuccessor(p.evidence)
	}
	return successor, ground, ok
}

// isCovered reports whether what any VM may have called certain is known: all VMs have stated their floors, or the
// list of instances was read after the others' records had become too old.
func (p *stopper) isCovered() bool {
	return p.relisted || p.s.Announcer.SealedByAll(p.s.Clock.Now(), p.turn)
}

// relist reads the list of instances, where floors are missing: an instance that is listed but not known here may hold
// commits that silent VMs have called certain. It reports whether the list is known as of a time at which they could
// not do so any more.
func (p *stopper) relist(ctx context.Context) bool {
	if p.isCovered() {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, relistTimeout)
	defer cancel()
	err := p.s.Lister.RefreshInstances(ctx)
	if err != nil {
		p.s.Journal.LogStateChange("instances-not-listed", journaler.Group(p.group), journaler.Err(err))
	}
	p.relisted = err == nil
	return p.relisted
}

// stepDown steps down the former primary and returns its report, or nil if there is none.
func (p *stopper) stepDown(ctx context.Context, instances []observer.Instance, departed []observer.Departed) *InstanceReport {
	former, ok := findInstance(instances, p.former)
	for _, d := range departed {
		if !ok && d.ID == p.former {
			former, ok = d.Instance, true
		}
	}
	if !ok {
		return nil
	}
	return &p.s.queryAll(ctx, []observer.Instance{former}, modeller.Statement{Kind: modeller.StepDown, Term: p.term})[0]
}

// pause pauses instances and returns their reports. One that turns out to lead is stepped down and
// paused again.
func (p *stopper) pause(ctx context.Context, list []observer.Instance) []InstanceReport {
	reports := p.s.queryAll(ctx, list, modeller.Statement{Kind: modeller.Pause, Term: p.term})
	for n, r := range reports {
		if r.Status != nil && r.Status.IsPrimary && r.Status.Term < p.term {
			p.s.queryAll(ctx, []observer.Instance{r.Instance}, modeller.Statement{Kind: modeller.StepDown, Term: p.term})
			reports[n] = p.s.queryAll(ctx, []observer.Instance{r.Instance}, modeller.Statement{Kind: modeller.Pause, Term: p.term})[0]
		}
	}
	return reports
}

// pauseArrived pauses the instances that have been listed since the given ones were, and adds their reports.
func (p *stopper) pauseArrived(ctx context.Context, before []observer.Instance) {
	arrived := slices.DeleteFunc(withoutInstance(p.s.Observer.Instances(p.group), p.former), func(i observer.Instance) bool {
		have, ok := findInstance(before, i.ID)
		return ok && have.Started.Equal(i.Started)
	})
	for _, r := range p.pause(ctx, arrived) {
		p.evidence.Replicas = slices.DeleteFunc(p.evidence.Replicas, func(o InstanceReport) bool { return o.Instance.ID == r.Instance.ID })
		p.evidence.Replicas = append(p.evidence.Replicas, r)
	}
}

// floorsDeadline returns until when the floors of the other VMs are waited for.
func (p *stopper) floorsDeadline(now time.Time) time.Time {
	return timekeeper.Later(now.Add(sealTimeout), p.recordedAt.Add(observer.MaxRecordAge))
}

// isSettled reports whether no VM can take a commit of the former primary for certain any more. All VMs have stated
// their floors, or their records are too old for that: a VM that is not heard may still read the record in the
// store, but what it reads from now on names the replacement.
func (p *stopper) isSettled() bool {
	now := p.s.Clock.Now()
	return p.s.Announcer.SealedByAll(now, p.turn) || now.Sub(p.recordedAt) > observer.MaxRecordAge
}

// isSealed reports whether all live VMs have stated their floors.
func (p *stopper) isSealed() bool { return p.evidence.Sealed }

// awaitFloors waits until a deadline, or until enough floors are stated or the former primary has stepped down.
func (p *stopper) awaitFloors(ctx context.Context, deadline time.Time, enough func() bool, stepped <-chan *InstanceReport) {
	for p.updateFloor(); !enough() && !p.evidence.formerHoldsAll() && p.s.Clock.Now().Before(deadline); p.updateFloor() {
		select {
		case former, ok := <-stepped:
			stepped = nil
			if ok {
				p.evidence.Former = former
			}
		case <-time.After(sealPollInterval):
		case <-ctx.Done():
			return
		}
	}
}

// updateFloor adds the floors that are known now to the evidence.
func (p *stopper) updateFloor() {
	p.evidence.Sealed = p.s.Announcer.Sealed(p.s.Clock.Now(), p.turn)
	p.evidence.Floor = p.s.Announcer.Floor(p.group, p.superseded)
}

// stopped returns the replicas that are stopped.
func (p *stopper) stopped() []observer.Instance {
	var out []observer.Instance
	for _, r := range p.evidence.Replicas {
		if r.stoppedFor(p.term) {
			out = append(out, r.Instance)
		}
	}
	for _, d := range p.evidence.Departed {
		if d.stoppedFor(p.term) {
			out = append(out, d.Instance)
		}
	}
	return out
}

// log logs what the choice of the successor rests on.
func (p *stopper) log(successor observer.Instance, ground Ground) {
	e := p.evidence
	fields := []journaler.Field{journaler.Group(p.group), journaler.Term(p.term), journaler.F("former", p.former), journaler.F("successor", successor.ID), journaler.F("ground", string(ground)),
		journaler.F("sealed", e.Sealed), journaler.F("floor", e.Floor), journaler.F("unsettled", e.Unsettled), journaler.F("former-absence", e.FormerAbsence)}
	if e.Former != nil {
		fields = append(fields, journaler.F("former-answer", describe(*e.Former)))
	}
	var replicas, departed []string
	for _, r := range e.Replicas {
		replicas = append(replicas, describe(r))
	}
	for _, d := range e.Departed {
		departed = append(departed, describe(d.InstanceReport)+" needed "+d.Needed.String()+" "+d.Absence.String())
	}
	p.s.Journal.LogStateChange("successor-chosen", append(fields, journaler.F("replicas", replicas), journaler.F("departed", departed))...)
}

// describe returns a report for a log.
func describe(r InstanceReport) string {
	if r.Status == nil {
		return r.Instance.ID + " silent"
	}
	role := " replica "
	if r.Status.IsPrimary {
		role = " primary "
	}
	return r.Instance.ID + role + r.Status.Received.String() + " held " + strconv.FormatUint(r.Status.PausedTerm, 10)
}
