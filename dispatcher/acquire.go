package dispatcher

import (
	"context"
	"errors"
	"os"

	"github.com/marigoldgauge/marigoldgauge/coder"
	"github.com/marigoldgauge/marigoldgauge/connector"
	"github.com/marigoldgauge/marigoldgauge/journaler"
	"github.com/marigoldgauge/marigoldgauge/modeller"
	"github.com/marigoldgauge/marigoldgauge/observer"
)

// acquireConn acquires a connection and applies the caller's session to it.
func (d *Dispatcher) acquireConn(ctx context.Context, u Unit, i observer.Instance) (*connector.PooledConn, modeller.Response) {
	pool := d.pool(i.ID)
	if pool == nil {
		d.Observer.AbandonStatement(i)
		return nil, modeller.NewErrorResponse(modeller.Moved, "the instance is gone")
	}
	startedAt := d.Clock.Now()
	waiting, release := u.Grant.Bind(ctx)
	defer release()
	conn, err := pool.Acquire(waiting, u.Organisation, u.Route.Priority, u.Route.TargetLatency/acquireDivisor)
	u.trace.linking += d.Clock.Now().Sub(startedAt)
	if err != nil {
		return nil, d.refuseWithoutConn(u, i, pool, err)
	}
	if conn.IsNew() {
		u.trace.dialled++
	}
	if a, ok := d.applySession(ctx, u, i, conn); !ok {
		return nil, a
	}
	return conn, modeller.Response{}
}

// applySession applies the caller's session to a connection. Otherwise it releases the connection and
// returns the response.
func (d *Dispatcher) applySession(ctx context.Context, u Unit, i observer.Instance, conn *connector.PooledConn) (a modeller.Response, ok bool) {
	before := conn.Responses()
	err := d.prepareSession(ctx, u, i, conn)
	if err == nil {
		return modeller.Response{}, true
	}
	responded := conn.Responses() > before
	a, retired := d.retireLongNames(u, i, conn, err)
	conn.Release(d.Clock.Now(), isUnsent(err))
	var control *connector.ControlError
	switch {
	case retired:
		return a, false
	case isUnservable(err):
		return d.abortUnservable(u, i, err), false
	case errors.As(err, &control), responded && errors.Is(err, os.ErrDeadlineExceeded):
		// The instance responds, but does not apply the session, or has not done so in the time of the statement.
		d.Observer.AbandonStatement(i)
		d.Journal.Request("session-not-applied", u.Statement.ID, journaler.Instance(i.ID), journaler.Group(i.Group), journaler.F("values", len(u.SessionValues)), journaler.Err(err))
		return modeller.NewErrorResponse(modeller.Busy, err.Error()), false
	default:
		return d.recordFailure(u, i, err), false
	}
}

// refuseWithoutConn reports to the observer why no connection was acquired, and returns the response.
func (d *Dispatcher) refuseWithoutConn(u Unit, i observer.Instance, pool *connector.Pool, err error) modeller.Response {
	var refusal *connector.Refusal
	switch {
	case isUnservable(err):
		return d.abortUnservable(u, i, err)
	case errors.As(err, &refusal):
		d.Observer.EndStatement(d.Clock.Now(), d.Clock.Now(), i, modeller.Response{Result: refusal.Result})
		return modeller.NewErrorResponse(refusal.Result, refusal.Detail)
	case errors.Is(err, connector.ErrNoConnection):
		d.handleNoConnection(pool, i)
		st := pool.Stats()
		d.Journal.Request("no-connection", u.Statement.ID, journaler.Instance(i.ID), journaler.Group(i.Group), journaler.F("open", st.Open), journaler.F("idle", st.Idle),
			journaler.F("dialling", st.Dialling), journaler.F("waiting", st.Waiting), journaler.F("share", st.Share), journaler.F("full-times", st.ConsecutiveFull))
		return modeller.NewErrorResponse(modeller.ConnectionLimitReached, err.Error())
	default:
		return d.recordFailure(u, i, err)
	}
}

// recordFailure reports to the observer that an instance failed before a statement was sent, and returns
// the response.
func (d *Dispatcher) recordFailure(u Unit, i observer.Instance, err error) modeller.Response {
	d.Observer.RecordFailure(d.Clock.Now(), i)
	d.Journal.Request("instance-failed", u.Statement.ID, journaler.Instance(i.ID), journaler.Group(i.Group), journaler.Err(err))
	return modeller.NewErrorResponse(modeller.Busy, err.Error())
}

// handleNoConnection reports to the observer that no connection was free: either all
// are in use, or the instance does not respond to dials.
func (d *Dispatcher) handleNoConnection(pool *connector.Pool, i observer.Instance) {
	now := d.Clock.Now()
	if since, ok := pool.UnansweredSince(now); ok {
		d.Observer.RecordSilence(now, since, i)
		return
	}
	d.Observer.AbandonStatement(i)
}

// acquireDivisor divides the target latency of a route to give the time within which
// a connection must be acquired before another instance is tried.
const acquireDivisor = 2

// prepareSession applies the session values and the prepared statement of a unit to
// a connection to an instance.
func (d *Dispatcher) prepareSession(ctx context.Context, u Unit, i observer.Instance, conn *connector.PooledConn) error {
	if err := conn.ApplySession(ctx, u.SessionValues); err != nil {
		return err
	}
	if u.Prepared == nil {
		return nil
	}
	deallocated, err := conn.Prepare(ctx, u.Prepared.digest, u.Prepared.Writes, u.Prepared.Text)
	if err != nil || deallocated > 0 {
		d.Journal.Request("prepared", u.Statement.ID, journaler.Instance(i.ID), journaler.Group(i.Group), journaler.F("name", conn.PreparedName(u.Prepared.digest)),
			journaler.F("writes", u.Prepared.Writes), journaler.F("bytes", len(u.Prepared.Text)), journaler.F("deallocated", deallocated), journaler.F("done", err == nil))
	}
	return err
}

// isUnsent reports whether an error means that nothing of a message was sent.
func isUnsent(err error) bool {
	var unsent *connector.EncodingError
	return errors.As(err, &unsent)
}

// isUnservable reports whether an error lies in the caller's statement or session, so that no
// instance can serve it.
func isUnservable(err error) bool {
	var refused *connector.StatementError
	return isUnsent(err) || errors.As(err, &refused)
}

// retireLongNames retires a connection if a message of a prepared statement was too long for it: names on a
// new connection are no longer than those of clients. The response lets the statement be tried again; nothing
// ran.
func (d *Dispatcher) retireLongNames(u Unit, i observer.Instance, conn *connector.PooledConn, err error) (a modeller.Response, retired bool) {
	var unsent *connector.EncodingError
	if u.Prepared == nil || conn.IsNew() || !errors.As(err, &unsent) || unsent.Code != coder.MessageTooLarge {
		return a, false
	}
	conn.Retire()
	d.Observer.AbandonStatement(i)
	return modeller.NewErrorResponse(modeller.Busy, err.Error()), true
}

// abortUnservable returns the response to a statement that no instance can serve. Nothing ran.
func (d *Dispatcher) abortUnservable(u Unit, i observer.Instance, err error) modeller.Response {
	d.Observer.AbandonStatement(i)
	code := coder.MessageUnsupported
	var unsent *connector.EncodingError
	if errors.As(err, &unsent) {
		code = unsent.Code
	}
	d.Journal.Request("abort", u.Statement.ID, journaler.Code(code), journaler.Instance(i.ID), journaler.Group(i.Group),
		journaler.Reason(err.Error()), journaler.F("kind", u.Statement.Kind))
	return refuse(modeller.Aborted, code, err.Error())
}
