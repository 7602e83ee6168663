package dispatcher

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/marigoldgauge/marigoldgauge/cataloguer"
	"github.com/marigoldgauge/marigoldgauge/coder"
	"github.com/marigoldgauge/marigoldgauge/journaler"
	"github.com/marigoldgauge/marigoldgauge/modeller"
	"github.com/marigoldgauge/marigoldgauge/observer"
	"github.com/marigoldgauge/marigoldgauge/shedder"
	"github.com/marigoldgauge/marigoldgauge/timekeeper"
	"github.com/marigoldgauge/marigoldgauge/tracker"
)

// runWithRetries places a unit on an instance and retries it until it is done or the
// timeout of its route has expired.
func (d *Dispatcher) runWithRetries(ctx context.Context, u Unit, try func(i observer.Instance, after tracker.Position) (modeller.Response, bool)) modeller.Response {
	ctx, release := u.Grant.Bind(ctx)
	defer release()
	var tried []string
	last := ""
	for {
		now := d.Clock.Now()
		target, refused := d.awaitPlacement(ctx, now, u, tried)
		u.trace.placing += d.Clock.Now().Sub(now)
		if u.Grant.Ended() {
			return d.refuseWithdrawn(d.Clock.Now(), u)
		}
		if refused.Verdict != shedder.Proceed {
			refused.Reason += last
			return d.refuseUnrun(d.Clock.Now(), u, tried, refused)
		}
		a, done := try(target.instance, target.after)
		u.trace.attempts++
		u.trace.last, u.trace.instance = a.Result.String(), target.instance.ID
		if done {
			return a
		}
		last = ", last " + a.Result.String() + " at " + target.instance.ID
		if a.Result == modeller.ConnectionLimitReached && d.shareInUse(target.instance) && d.Clock.Now().Sub(u.StartedAt) > u.Route.TargetLatency/saturatedDivisor {
			return d.refuseUnrun(d.Clock.Now(), u, tried, shedder.Decision{Verdict: shedder.Refuse, Reason: "no connection is free in time" + last, RetryAfter: u.Route.TargetLatency})
		}
		tried = append(tried, target.instance.ID)
		if len(tried)%attemptsBeforeDelay == 0 || u.needsPrimary() {
			if !timekeeper.Sleep(ctx, retryDelay) && !u.Grant.Ended() {
				return d.refuseUnrun(d.Clock.Now(), u, tried, shedder.Decision{Verdict: shedder.Refuse, Reason: "the time of the route is over" + last})
			}
			tried = tried[:0]
		}
	}
}

// retryDelay is the delay before an instance that did not run a statement is tried
// again: about the time of a short statement.
const retryDelay = 15 * time.Millisecond

// saturatedDivisor divides the target latency of a route to give the time after which
// a unit is refused if all connections are in use. Serving it later would only delay
// other units as well.
const saturatedDivisor = 2

// attemptsBeforeDelay is the number of instances tried before a delay, after which
// the first is tried again.
const attemptsBeforeDelay = 3

// refuseUnrun refuses a statement that no instance could run.
func (d *Dispatcher) refuseUnrun(now time.Time, u Unit, tried []string, refused shedder.Decision) modeller.Response {
	d.Throttler.ReturnToken(now, u.Organisation)
	primary, term, known := d.Observer.Primary(u.Route.Group)
	d.Journal.Request("refuse", u.Statement.ID, append([]journaler.Field{journaler.Code(coder.QueueTimeout), journaler.Reason(refused.Reason), journaler.F("retry-after", refused.RetryAfter),
		journaler.Organisation(u.Organisation), journaler.Group(u.Route.Group), journaler.F("route-kind", u.Route.Kind),
		journaler.F("writes", u.Writes), journaler.F("waited", now.Sub(u.StartedAt)), journaler.F("tried", tried),
		journaler.Primary(primary), journaler.Term(term), journaler.F("primary-known", known),
		journaler.F("vouched-for", d.Observer.Confirmed(u.Route.Group).Sub(now))}, u.trace.fields()...)...)
	a := refuse(modeller.Busy, coder.QueueTimeout, refused.Reason)
	a.RetryAfter = refused.RetryAfter
	return a
}

// awaitPlacement decides on which instance a statement runs and which position its log
// must include. It waits while the statement is blocked but may run in time; any
// decision other than Proceed refuses the statement.
func (d *Dispatcher) awaitPlacement(ctx context.Context, now time.Time, u Unit, tried []string) (target placement, refused shedder.Decision) {
	for {
		changed := d.Observer.Changed(u.Route.Group)
		target, blocker := d.findPlacement(now, u, tried)
		unit := shedder.Unit{Blocker: blocker, Deadline: u.StartedAt.Add(u.Route.Timeout), Target: u.Route.TargetLatency}
		decision := shedder.Decide(now, unit, d.primaryState(now, u.Route.Group), rand.Float64())
		if decision.Verdict == shedder.Proceed {
			return target, decision
		}
		queried := d.queryFor(u.Route.Group, blocker)
		if decision.Verdict == shedder.Refuse {
			return placement{}, decision
		}
		if !waitForChange(ctx, changed, queried, decision.ReconsiderAt.Sub(now)) {
			return placement{}, shedder.Decision{Verdict: shedder.Refuse, Reason: decision.Reason}
		}
		now = d.Clock.Now()
	}
}

// waitForChange waits for a change, the end of a status round or a timeout, and
// reports whether ctx has not ended.
func waitForChange(ctx context.Context, changed, queried <-chan struct{}, timeout time.Duration) bool {
	t := time.NewTimer(timeout)
	defer t.Stop()
	select {
	case <-changed:
	case <-queried:
	case <-t.C:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}

// placement is the instance on which a statement runs.
type placement struct {
	instance observer.Instance
	// after is the position that the log of the instance must include.
	after tracker.Position
}

// findPlacement selects an instance for a unit, or returns what blocks the unit.
func (d *Dispatcher) findPlacement(now time.Time, u Unit, tried []string) (placement, shedder.Blocker) {
	need := observer.Requirements{Group: u.Route.Group, NeedsPrimary: u.needsPrimary(), Exclude: tried}
	if !need.NeedsPrimary {
		after, ok := d.requiredPosition(now, u)
		if !ok {
			return placement{}, shedder.NoRecentPosition
		}
		need.MinPosition = after
	}
	switch {
	case u.Writes && d.Observer.IsSuperseded(u.Route.Group):
		return placement{}, shedder.PrimaryUnknown
	case u.Writes && !d.Observer.WritesOpen(now, u.Route.Group):
		return placement{}, shedder.WritesNotOpen
	case need.NeedsPrimary && !d.Observer.SilentSince(now, u.Route.Group).IsZero():
		return placement{}, shedder.PrimaryUnresponsive
	}
	i, ok := d.Observer.Choose(now, need)
	if !ok && len(tried) > 0 {
		need.Exclude = nil
		i, ok = d.Observer.Choose(now, need)
	}
	switch {
	case ok:
		return placement{instance: i, after: need.MinPosition}, shedder.NoBlocker
	case need.NeedsPrimary:
		return placement{}, shedder.PrimaryUnknown
	default:
		return placement{}, shedder.NoInstance
	}
}

// primaryState returns what this VM knows about the primary of a group.
func (d *Dispatcher) primaryState(now time.Time, group string) shedder.PrimaryState {
	s := shedder.PrimaryState{LostSince: d.Observer.SilentSince(now, group), FailoverTime: d.Observer.FailoverGap(group), WritesOpenAt: d.Observer.WritesOpenAt(now, group)}
	// A primary that is discovered between the two calls must not count as lost.
	discovered := d.Observer.WasDiscovered(group)
	_, _, known := d.Observer.Primary(group)
	known = known && !d.Observer.IsSuperseded(group)
	d.mu.Lock()
	defer d.mu.Unlock()
	if known {
		delete(d.primaryUnknownSince, group)
		return s
	}
	if d.primaryUnknownSince[group].IsZero() {
		d.primaryUnknownSince[group] = now
	}
	if since := d.primaryUnknownSince[group]; s.LostSince.IsZero() && (now.Sub(since) >= discoveryTime || discovered) {
		s.LostSince = since
	}
	return s
}

// discoveryTime is how long a group whose primary this process has never known does not
// count as without a primary: a status round takes that long at most.
const discoveryTime = controlTimeout

// queryFor starts a status round if it may unblock a unit, and returns a channel that
// is closed at the end of the round; nil if a round cannot help.
func (d *Dispatcher) queryFor(group string, blocker shedder.Blocker) <-chan struct{} {
	switch blocker {
	case shedder.NoRecentPosition, shedder.PrimaryUnresponsive:
		return d.startRound(group).done
	case shedder.PrimaryUnknown:
		if _, _, ok := d.Observer.Primary(group); !ok || d.Observer.PrimaryUnlisted(group) || d.Observer.IsSuperseded(group) {
			return d.startRound(group).done
		}
	}
	return nil
}

// requiredPosition returns the position that the log of a replica must include for a
// read; ok is false while no known position is recent enough.
func (d *Dispatcher) requiredPosition(now time.Time, u Unit) (p tracker.Position, ok bool) {
	p, ok = d.Observer.Watermark(u.Route.Group, u.StartedAt.Add(stalenessMargin-u.Route.MaxStaleness))
	if !ok {
		return p, false
	}
	if d.Observer.Confirmed(u.Route.Group).Before(now.Add(-u.Route.MaxStaleness / 2)) {
		d.RequestStatus(u.Route.Group)
	}
	_, term, _ := d.Observer.Primary(u.Route.Group)
	return positionToRead(u, p, term), true
}

// positionToRead returns the position that a read requires, given the watermark of the
// primary in a term.
//
// The watermark covers everything that survived from earlier terms. A position of an
// earlier term beyond it was rolled back by the promotion, and no log will ever
// include it again.
func positionToRead(u Unit, watermark tracker.Position, term uint64) tracker.Position {
	if u.Route.Kind == cataloguer.ReadYourWrites && u.LastCommit.Term >= term {
		return watermark.Max(u.LastCommit)
	}
	return watermark
}

// stalenessMargin is the part of a route's staleness reserved for sending the
// statement to the instance.
const stalenessMargin = 100 * time.Millisecond

// shareInUse reports whether this VM has as many open connections to an instance as
// its share. If not, others hold the connections, mostly terminated processes whose
// connections the instance keeps open for some seconds; those will be free soon.
func (d *Dispatcher) shareInUse(i observer.Instance) bool {
	p := d.pool(i.ID)
	if p == nil {
		return false
	}
	st := p.Stats()
	return st.Open >= st.Share
}
