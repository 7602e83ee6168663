package dispatcher

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/marigoldgauge/marigoldgauge/cataloguer"
	"github.com/marigoldgauge/marigoldgauge/clocker"
	"github.com/marigoldgauge/marigoldgauge/coder"
	"github.com/marigoldgauge/marigoldgauge/decider"
	"github.com/marigoldgauge/marigoldgauge/journaler"
	"github.com/marigoldgauge/marigoldgauge/observer"
	"github.com/marigoldgauge/marigoldgauge/phraser"
	"github.com/marigoldgauge/marigoldgauge/tracker"
)

// repeat places a unit and tries it until it is done or its time is over.
func (d *Dispatcher) repeat(ctx context.Context, u Unit, try func(i observer.Instance, after tracker.Position) (phraser.Answer, bool)) phraser.Answer {
	var tried []string
	last := ""
	for {
		now := d.Clock.Now()
		at, refused := d.place(ctx, now, u, tried)
		u.trace.placing += d.Clock.Now().Sub(now)
		if refused.Verdict != decider.Proceed {
			refused.Reason += last
			return d.giveUp(d.Clock.Now(), u, tried, refused)
		}
		a, done := try(at.instance, at.after)
		u.trace.attempts++
		u.trace.last, u.trace.instance = a.Result.String(), at.instance.ID
		if done {
			return a
		}
		last = ", last " + a.Result.String() + " at " + at.instance.ID
		if a.Result == phraser.Full && d.saturated(at.instance) && d.Clock.Now().Sub(u.Began) > u.Route.Target/saturatedShare {
			return d.giveUp(d.Clock.Now(), u, tried, decider.Decision{Verdict: decider.Refuse, Reason: "no connection is free in time" + last, RetryAfter: u.Route.Target})
		}
		tried = append(tried, at.instance.ID)
		if len(tried)%attemptsBeforePause == 0 || u.leads() {
			if !clocker.Sleep(ctx, pauseBetweenAttempts) {
				return d.giveUp(d.Clock.Now(), u, tried, decider.Decision{Verdict: decider.Refuse, Reason: "the time of the route is over" + last})
			}
			tried = tried[:0]
		}
	}
}

// pauseBetweenAttempts is the pause before an instance that did not run a
// statement is tried again: about the time of a short statement.
const pauseBetweenAttempts = 15 * time.Millisecond

// saturatedShare is the part of a route's target after which a unit is refused
// that finds all connections in use: served later it would only make others
// late as well.
const saturatedShare = 2

// attemptsBeforePause is the number of instances tried before the first is tried again.
const attemptsBeforePause = 3

// giveUp refuses a statement that no instance could run.
func (d *Dispatcher) giveUp(now time.Time, u Unit, tried []string, refused decider.Decision) phraser.Answer {
	d.Sharer.Return(now, u.Organisation)
	primary, term, known := d.Observer.Primary(u.Route.Group)
	d.Journal.Request("refuse", u.Statement.ID, append([]journaler.Field{journaler.Code(coder.QueueTimeout), journaler.Reason(refused.Reason), journaler.F("retry-after", refused.RetryAfter),
		journaler.Organisation(u.Organisation), journaler.Group(u.Route.Group), journaler.F("route-kind", u.Route.Kind),
		journaler.F("writes", u.Writes), journaler.F("waited", now.Sub(u.Began)), journaler.F("tried", tried),
		journaler.Primary(primary), journaler.Term(term), journaler.F("primary-known", known),
		journaler.F("vouched-for", d.Observer.Confirmed(u.Route.Group).Sub(now))}, u.trace.fields()...)...)
	a := refuse(phraser.Busy, coder.QueueTimeout, refused.Reason)
	a.RetryAfter = refused.RetryAfter
	return a
}

// place decides where a statement runs and which position the log must hold
// there. It waits for what the statement lacks as long as that may come in time;
// any other decision than to proceed refuses the statement.
func (d *Dispatcher) place(ctx context.Context, now time.Time, u Unit, tried []string) (at placement, refused decider.Decision) {
	for {
		changed := d.Observer.Changed(u.Route.Group)
		at, lacks := d.look(now, u, tried)
		unit := decider.Unit{Lacks: lacks, Deadline: u.Began.Add(u.Route.Timeout), Target: u.Route.Target}
		decision := decider.Decide(now, unit, d.believe(now, u.Route.Group), rand.Float64())
		if decision.Verdict == decider.Proceed {
			return at, decision
		}
		asked := d.askFor(u.Route.Group, lacks)
		if decision.Verdict == decider.Refuse {
			return placement{}, decision
		}
		if !await(ctx, changed, asked, decision.Until.Sub(now)) {
			return placement{}, decider.Decision{Verdict: decider.Refuse, Reason: decision.Reason}
		}
		now = d.Clock.Now()
	}
}

// await waits for a change, the end of a round of questions or the end of a
// time, and reports whether ctx is still alive.
func await(ctx context.Context, changed, asked <-chan struct{}, most time.Duration) bool {
	t := time.NewTimer(most)
	defer t.Stop()
	select {
	case <-changed:
	case <-asked:
	case <-t.C:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}

// placement is where a statement runs.
type placement struct {
	instance observer.Instance
	// after is the position that the log must hold there.
	after tracker.Position
}

// look looks once for a place, and returns what is missing for one.
func (d *Dispatcher) look(now time.Time, u Unit, tried []string) (placement, decider.Lack) {
	need := observer.Need{Group: u.Route.Group, Lead: u.leads(), Tried: tried}
	if !need.Lead {
		after, ok := d.requirement(now, u)
		if !ok {
			return placement{}, decider.Position
		}
		need.After = after
	}
	switch {
	case u.Writes && !d.Observer.Opened(now, u.Route.Group):
		return placement{}, decider.Opening
	case need.Lead && !d.Observer.SilentSince(now, u.Route.Group).IsZero():
		return placement{}, decider.Answers
	}
	i, ok := d.Observer.Choose(now, need)
	if !ok && len(tried) > 0 {
		need.Tried = nil
		i, ok = d.Observer.Choose(now, need)
	}
	switch {
	case ok:
		return placement{instance: i, after: need.After}, decider.Nothing
	case need.Lead:
		return placement{}, decider.Leader
	default:
		return placement{}, decider.Instance
	}
}

// believe returns what is taken for true of the primary of a group.
func (d *Dispatcher) believe(now time.Time, group string) decider.Belief {
	b := decider.Belief{Lost: d.Observer.SilentSince(now, group), Gap: d.Observer.Gap(group), Opens: d.Observer.OpensAt(now, group)}
	_, _, known := d.Observer.Primary(group)
	d.mu.Lock()
	defer d.mu.Unlock()
	if known {
		delete(d.missed, group)
		return b
	}
	if d.missed[group].IsZero() {
		d.missed[group] = now
	}
	if b.Lost.IsZero() {
		b.Lost = d.missed[group]
	}
	return b
}

// askFor asks the instances of a group for what a unit lacks, and returns what is
// closed when they have answered; nil if they cannot tell.
func (d *Dispatcher) askFor(group string, lacks decider.Lack) <-chan struct{} {
	switch lacks {
	case decider.Position, decider.Answers:
		return d.ask(group).done
	case decider.Leader:
		if _, _, ok := d.Observer.Primary(group); !ok || d.Observer.Unlisted(group) {
			return d.ask(group).done
		}
	}
	return nil
}

// requirement returns the position that a replica must hold for a read; ok is
// false while none is known that is recent enough.
func (d *Dispatcher) requirement(now time.Time, u Unit) (p tracker.Position, ok bool) {
	p, ok = d.Observer.Watermark(u.Route.Group, u.Began.Add(stalenessMargin-u.Route.Staleness))
	if !ok {
		return p, false
	}
	if d.Observer.Confirmed(u.Route.Group).Before(now.Add(-u.Route.Staleness / 2)) {
		d.Ask(u.Route.Group)
	}
	_, term, _ := d.Observer.Primary(u.Route.Group)
	return require(u, p, term), true
}

// require returns the position that a read needs, given a watermark of the
// primary of a term.
//
// The watermark covers all that has survived of earlier terms. A position of an
// earlier term beyond it was rolled back by the promotion, and no log will ever
// hold it again.
func require(u Unit, watermark tracker.Position, term uint64) tracker.Position {
	if u.Route.Kind == cataloguer.ReadYourWrites && u.Session.Term >= term {
		return watermark.Max(u.Session)
	}
	return watermark
}

// stalenessMargin is left of a route's staleness for the way to the instance.
const stalenessMargin = 100 * time.Millisecond

// saturated reports whether this VM uses its share of an instance's connections
// up. If not, others hold them, most of all processes that are gone, whose
// connections an instance keeps for some seconds; they will be free soon.
func (d *Dispatcher) saturated(i observer.Instance) bool {
	p := d.pool(i.ID)
	if p == nil {
		return false
	}
	st := p.Stats()
	return st.Open >= st.Share
}
