package dispatcher

import (
	"context"
	"time"

	"github.com/marigoldgauge/marigoldgauge/cataloguer"
	"github.com/marigoldgauge/marigoldgauge/clocker"
	"github.com/marigoldgauge/marigoldgauge/coder"
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
		i, after, why := d.place(ctx, now, u, tried)
		u.trace.placing += d.Clock.Now().Sub(now)
		if why != "" {
			return d.giveUp(now, u, tried, why+last)
		}
		a, done := try(i, after)
		u.trace.attempts++
		u.trace.last, u.trace.instance = a.Result.String(), i.ID
		if done {
			return a
		}
		last = ", last " + a.Result.String() + " at " + i.ID
		if a.Result == phraser.Full && d.saturated(i) && d.Clock.Now().Sub(u.Began) > u.Route.Target/saturatedShare {
			return d.giveUp(d.Clock.Now(), u, tried, "no connection is free in time"+last)
		}
		tried = append(tried, i.ID)
		if len(tried)%attemptsBeforePause == 0 || u.leads() {
			if !clocker.Sleep(ctx, pollEvery) {
				return d.giveUp(d.Clock.Now(), u, tried, "the time of the route is over"+last)
			}
			tried = tried[:0]
		}
	}
}

// saturatedShare is the part of a route's target after which a unit is refused
// that finds all connections in use: served later it would only make others
// late as well.
const saturatedShare = 2

// attemptsBeforePause is the number of instances tried before the first is tried again.
const attemptsBeforePause = 3

// giveUp refuses a statement that no instance could run.
func (d *Dispatcher) giveUp(now time.Time, u Unit, tried []string, why string) phraser.Answer {
	d.Sharer.Return(now, u.Organisation)
	primary, term, known := d.Observer.Primary(u.Route.Group)
	d.Journal.Request("refuse", u.Statement.ID, append([]journaler.Field{journaler.Code(coder.QueueTimeout), journaler.Reason(why),
		journaler.Organisation(u.Organisation), journaler.Group(u.Route.Group), journaler.F("route-kind", u.Route.Kind),
		journaler.F("writes", u.Writes), journaler.F("waited", now.Sub(u.Began)), journaler.F("tried", tried),
		journaler.Primary(primary), journaler.Term(term), journaler.F("primary-known", known),
		journaler.F("vouched-for", d.Observer.Confirmed(u.Route.Group).Sub(now))}, u.trace.fields()...)...)
	return refuse(phraser.Busy, coder.QueueTimeout, why)
}

// place decides where a statement runs and which position the log must hold
// there. It waits while that can't be decided; why tells that it gave up.
func (d *Dispatcher) place(ctx context.Context, now time.Time, u Unit, tried []string) (i observer.Instance, after tracker.Position, why string) {
	for {
		need := observer.Need{Group: u.Route.Group, Lead: u.leads(), Tried: tried}
		why = "the primary is not known"
		if !need.Lead {
			after, why = d.requirement(ctx, now, u)
			need.After = after
		}
		if u.Writes && !d.Observer.Opened(now, u.Route.Group) {
			why = "the primary is not open for writes yet"
		} else if need.Lead || why == "" {
			if i, ok := d.Observer.Choose(now, need); ok {
				return i, after, ""
			}
			if len(tried) > 0 && !need.Lead {
				return d.place(ctx, now, u, nil)
			}
		}
		if need.Lead {
			tried = nil
			d.askUnknown(u.Route.Group)
		}
		if !clocker.Sleep(ctx, pollEvery) {
			return i, after, why
		}
		now = d.Clock.Now()
	}
}

// requirement returns the position that a replica must hold for a read.
func (d *Dispatcher) requirement(ctx context.Context, now time.Time, u Unit) (p tracker.Position, why string) {
	limit := u.Began.Add(stalenessMargin - u.Route.Staleness)
	p, ok := d.Observer.Watermark(u.Route.Group, limit)
	if !ok {
		d.awaitRound(ctx, u.Route.Group)
		if p, ok = d.Observer.Watermark(u.Route.Group, limit); !ok {
			return p, "no position of the primary is recent enough"
		}
	} else if d.Observer.Confirmed(u.Route.Group).Before(now.Add(-u.Route.Staleness / 2)) {
		d.Ask(u.Route.Group)
	}
	_, term, _ := d.Observer.Primary(u.Route.Group)
	return require(u, p, term), ""
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
