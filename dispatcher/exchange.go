package dispatcher

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/marigoldgauge/marigoldgauge/coder"
	"github.com/marigoldgauge/marigoldgauge/connector"
	"github.com/marigoldgauge/marigoldgauge/journaler"
	"github.com/marigoldgauge/marigoldgauge/modeller"
	"github.com/marigoldgauge/marigoldgauge/observer"
	"github.com/marigoldgauge/marigoldgauge/timekeeper"
	"github.com/marigoldgauge/marigoldgauge/tracker"
)

// attempt runs a statement on one instance; done is false if it may be retried.
func (d *Dispatcher) attempt(ctx context.Context, u Unit, i observer.Instance, after tracker.Position) (a modeller.Response, done bool) {
	check := d.checkPrimary(ctx, u, i)
	conn, a, err := d.sendTo(ctx, u, i, after)
	if conn != nil {
		conn.Release(d.Clock.Now(), err == nil)
	}
	return d.evaluate(u, i, a, err, conn != nil, u.Writes || check.passed())
}

// sendTo acquires a connection and runs the statement on it; the connection is nil
// if the statement was not sent.
func (d *Dispatcher) sendTo(ctx context.Context, u Unit, i observer.Instance, after tracker.Position) (*connector.PooledConn, modeller.Response, error) {
	d.Observer.BeginStatement(i)
	conn, a := d.acquireConn(ctx, u, i)
	if conn == nil {
		return nil, a, nil
	}
	// While the statement waited for a connection, the replacement of the primary may have begun, or
	// its key may have gone.
	if refused := d.refuseLate(u, i); refused != "" {
		d.Observer.AbandonStatement(i)
		return conn, modeller.NewErrorResponse(modeller.Busy, refused), nil
	}
	s := u.Statement
	s.MinPosition = after
	a, err := d.exchange(ctx, u, i, conn, s)
	return conn, a, err
}

// refuseLate returns why a statement with a connection to an instance must not be sent; empty if it may.
func (d *Dispatcher) refuseLate(u Unit, i observer.Instance) string {
	switch {
	case u.Grant.Ended():
		return withdrawnReason
	case u.Writes && !d.mayCommit(i):
		return supersededReason
	default:
		return ""
	}
}

// mayCommit reports whether a commit may be sent to an instance.
func (d *Dispatcher) mayCommit(i observer.Instance) bool {
	_, ok := d.Observer.CommitTerm(i)
	return ok
}

// supersededReason is the reason of refusals at a primary that is being replaced.
const supersededReason = "the primary is being replaced"

// exchange sends a statement and reports the outcome to the observer.
func (d *Dispatcher) exchange(ctx context.Context, u Unit, i observer.Instance, conn *connector.PooledConn, s modeller.Statement) (modeller.Response, error) {
	if s.Kind == modeller.Execute {
		s.Name = u.preparedName(conn)
	}
	sent := d.Clock.Now()
	var term uint64
	if commits(u, s.Kind) {
		term, _ = d.Observer.CommitTerm(i)
	}
	a, err := conn.Exchange(ctx, s)
	now := d.Clock.Now()
	if u.trace != nil {
		u.trace.running += now.Sub(sent)
	}
	if a, retired := d.retireLongNames(u, i, conn, err); retired {
		return a, nil
	}
	if isUnsent(err) {
		return d.abortUnservable(u, i, err), nil
	}
	if err != nil && conn.BrokenOff() {
		d.Observer.AbandonStatement(i)
		return a, errWithdrawn
	}
	if err != nil {
		d.Observer.RecordFailure(now, i)
		if commits(u, s.Kind) {
			d.Observer.RecordUnacknowledgedCommit(sent, i)
		}
		d.Journal.Request("exchange-broken", u.Statement.ID, journaler.Instance(i.ID), journaler.Group(i.Group),
			journaler.F("kind", s.Kind), journaler.F("after", now.Sub(sent)), journaler.Err(err))
		return a, err
	}
	d.Observer.EndStatement(now, sent, i, a)
	if a.Result == modeller.Done && commits(u, s.Kind) && d.ReplicatesSynchronously(i.Group) && !d.isKept(ctx, now, sent, i, term, a.Position) {
		d.Journal.Request("in-doubt", u.Statement.ID, journaler.Code(coder.NotConfirmed), journaler.Instance(i.ID),
			journaler.Term(term), journaler.F("position", a.Position), journaler.Reason(supersededReason))
		return refuse(modeller.InDoubt, coder.NotConfirmed, supersededReason), nil
	}
	if a.Result == modeller.Unprepared && u.Prepared != nil {
		conn.ForgetPrepared(u.Prepared.digest)
	}
	return a, nil
}

// isKept reports whether a commit that the primary of a term acknowledged at a position is certain to be
// kept, if need be after a wait.
func (d *Dispatcher) isKept(ctx context.Context, acknowledged, sent time.Time, i observer.Instance, term uint64, p tracker.Position) bool {
	switch d.Observer.RecordCommit(sent, i, term, p) {
	case observer.Unknown:
		return false
	case observer.Undecided:
		return d.awaitKept(ctx, i.Group, term, p)
	default:
		return d.Observer.IsRecordRecent(acknowledged) || d.awaitHeld(ctx, acknowledged, i.Group, term, p)
	}
}

// awaitHeld waits until a commit that was acknowledged to this VM while it had no recent record is
// certain to be kept, and reports whether it is.
func (d *Dispatcher) awaitHeld(ctx context.Context, acknowledged time.Time, group string, term uint64, p tracker.Position) bool {
	for interval := minRoundInterval; ; interval = min(2*interval, maxHeldInterval) {
		changed := d.Observer.Changed(group)
		if outcome := d.Observer.ResolveHeldCommit(acknowledged, group, term, p); outcome != observer.Undecided {
			return outcome == observer.Kept
		}
		d.askReplicas(ctx, group, interval)
		if outcome := d.Observer.ResolveHeldCommit(acknowledged, group, term, p); outcome != observer.Undecided {
			return outcome == observer.Kept
		}
		if _, ok := timekeeper.SleepUntil(ctx, interval, changed); !ok {
			return false
		}
	}
}

// maxHeldInterval is the maximum interval at which replicas are asked whether they hold a commit.
const maxHeldInterval = 500 * time.Millisecond

// askReplicas asks a replica for its status, in a round that all units of work share, and all replicas after
// that did not suffice.
func (d *Dispatcher) askReplicas(ctx context.Context, group string, interval time.Duration) {
	if interval > minRoundInterval {
		d.queryReplicas(ctx, group)
		return
	}
	select {
	case <-d.startRound(group).done:
	case <-ctx.Done():
	}
}

// queryReplicas requests the status of the replicas of a group.
func (d *Dispatcher) queryReplicas(ctx context.Context, group string) {
	primary, _, _ := d.Observer.Primary(group)
	var g errgroup.Group
	for _, i := range d.Observer.Instances(group) {
		if i.ID != primary {
			g.Go(func() error {
				d.queryStatus(ctx, i)
				return nil
			})
		}
	}
	_ = g.Wait()
}

// awaitKept waits until the log of the successor of a primary that acknowledged a commit of a term
// at a position is known, and reports whether it contains the commit.
func (d *Dispatcher) awaitKept(ctx context.Context, group string, term uint64, p tracker.Position) bool {
	for {
		changed := d.Observer.Changed(group)
		switch d.Observer.ResolveCommit(group, term, p) {
		case observer.Kept:
			return true
		case observer.Unknown:
			return false
		default:
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// commits reports whether a statement of a unit ends in a commit that is replicated.
func commits(u Unit, k modeller.Kind) bool {
	return u.Writes && (k == modeller.Write || k == modeller.Execute || k == modeller.Commit)
}

// ReplicatesSynchronously reports whether a commit of a group waits for a replica.
func (d *Dispatcher) ReplicatesSynchronously(group string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	g, _ := d.groups.Get(group)
	return g.SyncReplicas > 0
}

// evaluate returns the response to an attempt; the result is false if the attempt may
// be retried.
func (d *Dispatcher) evaluate(u Unit, i observer.Instance, a modeller.Response, err error, sent, confirmed bool) (modeller.Response, bool) {
	if err == nil && a.Result == modeller.Aborted {
		return a, true
	}
	if err != nil && u.Writes && sent {
		d.Journal.Request("in-doubt", u.Statement.ID, journaler.Code(coder.OutcomeUnknown), journaler.Instance(i.ID), journaler.Err(err))
		return refuse(modeller.InDoubt, coder.OutcomeUnknown, "the instance did not answer"), true
	}
	if err != nil {
		return modeller.NewErrorResponse(modeller.TimedOut, err.Error()), false
	}
	if !confirmed {
		return modeller.NewErrorResponse(modeller.Other, "the primary is not confirmed"), false
	}
	if a.Result == modeller.Done {
		return a, true
	}
	if a.Result.DidNotRun() {
		return a, false
	}
	d.Journal.Request("failed", u.Statement.ID, journaler.F("result", a.Result), journaler.Instance(i.ID), journaler.F("detail", a.Detail))
	return a, true
}
