package dispatcher

import (
	"context"
	"errors"
	"time"

	"github.com/marigoldgauge/marigoldgauge/coder"
	"github.com/marigoldgauge/marigoldgauge/connector"
	"github.com/marigoldgauge/marigoldgauge/journaler"
	"github.com/marigoldgauge/marigoldgauge/modeller"
	"github.com/marigoldgauge/marigoldgauge/observer"
	"github.com/marigoldgauge/marigoldgauge/timekeeper"
	"github.com/marigoldgauge/marigoldgauge/tracker"
)

// rollbackTimeout is the timeout of the rollback of a transaction whose caller has
// received its response. After it the connection is closed, which also rolls the
// transaction back.
const rollbackTimeout = 500 * time.Millisecond

// Transaction is an open transaction on an instance.
type Transaction interface {
	// Instance returns the id of the instance that runs the transaction.
	Instance() string
	// Run runs a statement in the transaction. After a response whose state is not
	// InTransaction the transaction has ended and is rolled back.
	Run(ctx context.Context, u Unit) modeller.Response
	// Commit commits the transaction.
	Commit(ctx context.Context, u Unit) modeller.Response
	// Rollback rolls the transaction back after its caller has received its response.
	Rollback(ctx context.Context)
	// HasWritten reports whether a statement of the transaction may have changed data.
	HasWritten() bool
}

// localTransaction is a transaction on a connection of this VM.
type localTransaction struct {
	d            *Dispatcher
	unit         Unit
	instance     observer.Instance
	conn         *connector.PooledConn
	primaryCheck *primaryCheck
	wrote        bool
}

// Open begins a transaction; if it returns none, the response says why.
func (d *Dispatcher) Open(ctx context.Context, u Unit) (Transaction, modeller.Response) {
	u.trace = &trace{}
	t, a := d.admitAndBegin(ctx, u)
	d.recordOutcome(u, a)
	return t, a
}

// admitAndBegin admits a transaction and begins it, locally or through a VM that
// holds connections.
func (d *Dispatcher) admitAndBegin(ctx context.Context, u Unit) (Transaction, modeller.Response) {
	if a, ok := d.admit(ctx, u); !ok {
		return nil, a
	}
	if d.Remote != nil {
		if t, a, ok := d.Remote.Open(ctx, u); ok {
			return t, a
		}
	}
	return d.beginAdmitted(ctx, u)
}

// OpenAdmitted begins a transaction that another VM has admitted.
func (d *Dispatcher) OpenAdmitted(ctx context.Context, u Unit) (Transaction, modeller.Response) {
	u.trace = &trace{}
	return d.beginAdmitted(ctx, u)
}

// beginAdmitted begins a transaction on an instance.
func (d *Dispatcher) beginAdmitted(ctx context.Context, u Unit) (Transaction, modeller.Response) {
	ctx, cancel := context.WithTimeout(ctx, u.Route.Timeout)
	defer cancel()
	var t *localTransaction
	a := d.runWithRetries(ctx, u, func(i observer.Instance, after tracker.Position) (modeller.Response, bool) {
		conn, a, err := d.sendTo(ctx, u, i, after)
		if conn == nil {
			return a, a.Result == modeller.Aborted
		}
		if err == nil && a.Result == modeller.Done {
			t = &localTransaction{d: d, unit: u, instance: i, conn: conn}
			return a, true
		}
		conn.Release(d.Clock.Now(), err == nil && a.State == modeller.Idle)
		return a, a.Result == modeller.Aborted
	})
	if t == nil {
		return nil, a
	}
	return t, a
}

// Instance returns the id of the instance that runs the transaction.
func (t *localTransaction) Instance() string {
	return t.instance.ID
}

// Run runs a statement in the transaction. After a response whose state is not
// InTransaction the transaction has ended and is rolled back.
func (t *localTransaction) Run(ctx context.Context, u Unit) modeller.Response {
	ctx, cancel := context.WithTimeout(ctx, u.Route.Timeout)
	defer cancel()
	first := t.primaryCheck == nil
	if first {
		t.primaryCheck = t.d.checkPrimary(ctx, t.unit, t.instance)
	}
	t.wrote = t.wrote || u.Writes
	stop := breakOffWithdrawn(u, t.conn)
	a, err := t.exchange(ctx, u)
	stop()
	if first && !t.primaryCheck.passed() && err == nil {
		return t.rollBackUnconfirmed(ctx, u, "the primary is not confirmed")
	}
	if err != nil {
		t.releaseConn(false)
		return t.abortedAnswer(u, err.Error())
	}
	if a.State == modeller.InTransaction {
		return a
	}
	t.releaseConn(false)
	if a.Result.DidNotRun() && a.Result != modeller.ReadOnly {
		return t.abortedAnswer(u, "the instance answered "+a.Result.String())
	}
	a.State = modeller.TransactionFailed
	return a
}

// exchange runs a statement, and retries it while the instance is busy or does not
// know its prepared statement.
func (t *localTransaction) exchange(ctx context.Context, u Unit) (modeller.Response, error) {
	waiting, release := u.Grant.Bind(ctx)
	defer release()
	for {
		if err := t.d.prepareSession(ctx, u, t.instance, t.conn); err != nil {
			return modeller.Response{}, err
		}
		if u.Grant.Ended() {
			return modeller.Response{}, errWithdrawn
		}
		s := u.Statement
		sent := u
		sent.Writes = u.Writes && s.Kind == modeller.Commit
		t.d.Observer.BeginStatement(t.instance)
		a, err := t.d.exchange(ctx, sent, t.instance, t.conn, s)
		again := err == nil && a.State == modeller.InTransaction && (a.Result == modeller.Busy || a.Result == modeller.Unprepared)
		if !again || !timekeeper.Sleep(waiting, retryDelay) && !u.Grant.Ended() {
			return a, err
		}
	}
}

// Commit commits the transaction.
func (t *localTransaction) Commit(ctx context.Context, u Unit) modeller.Response {
	ctx, cancel := context.WithTimeout(ctx, u.Route.Timeout)
	defer cancel()
	u.Writes = t.wrote
	if t.wrote && !t.d.mayCommit(t.instance) {
		t.releaseConn(false)
		a := t.abortedAnswer(u, supersededReason)
		a.State = modeller.Idle
		return a
	}
	a, err := t.exchange(ctx, u)
	// After a commit that was not sent, the transaction is still open at the instance.
	t.releaseConn(err == nil && a.State == modeller.Idle && a.Result != modeller.Aborted)
	if err == nil {
		a.State = modeller.Idle
		return a
	}
	if t.wrote && !isUnservable(err) && !errors.Is(err, errWithdrawn) {
		t.d.Journal.Request("in-doubt", u.Statement.ID, journaler.Code(coder.OutcomeUnknown), journaler.Instance(t.instance.ID), journaler.Err(err))
		return refuse(modeller.InDoubt, coder.OutcomeUnknown, "the instance did not answer the commit")
	}
	a = t.abortedAnswer(u, err.Error())
	a.State = modeller.Idle
	return a
}

// Rollback rolls the transaction back after its caller has received its response.
func (t *localTransaction) Rollback(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, rollbackTimeout)
	defer cancel()
	t.d.Observer.BeginStatement(t.instance)
	a, err := t.d.exchange(ctx, t.unit, t.instance, t.conn, modeller.Statement{Kind: modeller.Rollback})
	t.releaseConn(err == nil && a.State == modeller.Idle)
}

// rollBackUnconfirmed rolls back a transaction whose responses cannot be trusted,
// because its instance is not confirmed as the primary.
func (t *localTransaction) rollBackUnconfirmed(ctx context.Context, u Unit, reason string) modeller.Response {
	t.Rollback(context.WithoutCancel(ctx))
	return t.abortedAnswer(u, reason)
}

// abortedAnswer logs the rollback of a transaction and returns the response that
// reports it.
func (t *localTransaction) abortedAnswer(u Unit, reason string) modeller.Response {
	code := coder.QueueTimeout
	if u.Grant.Ended() {
		code = coder.KeyWithdrawn
	}
	t.d.Journal.Request("abort", u.Statement.ID, journaler.Code(code), journaler.Instance(t.instance.ID),
		journaler.Group(t.instance.Group), journaler.Reason(reason), journaler.F("kind", u.Statement.Kind))
	a := refuse(modeller.Aborted, code, reason)
	a.State = modeller.TransactionFailed
	return a
}

// releaseConn releases the connection of the transaction.
func (t *localTransaction) releaseConn(reusable bool) {
	t.conn.Release(t.d.Clock.Now(), reusable)
}

// HasWritten reports whether a statement of the transaction may have changed data.
func (t *localTransaction) HasWritten() bool {
	return t.wrote
}
