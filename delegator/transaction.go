package delegator

import (
	"context"
	"time"

	"github.com/marigoldgauge/marigoldgauge/coder"
	"github.com/marigoldgauge/marigoldgauge/dispatcher"
	"github.com/marigoldgauge/marigoldgauge/journaler"
	"github.com/marigoldgauge/marigoldgauge/modeller"
)

// rollbackTimeout bounds a rollback; the client has been answered before it.
const rollbackTimeout = 500 * time.Millisecond

// transaction is a transaction that runs at a holder. It implements dispatcher.Transaction.
type transaction struct {
	stream   *stream
	holder   string
	instance string
	wrote    bool
}

// Instance returns the ID of the instance that runs the transaction.
func (t *transaction) Instance() string { return t.instance }

// HasWritten reports whether the transaction may have changed data.
func (t *transaction) HasWritten() bool { return t.wrote }

// Run runs a statement in the transaction.
func (t *transaction) Run(ctx context.Context, u dispatcher.Unit) modeller.Response {
	t.wrote = t.wrote || u.Writes
	r, err := t.send(ctx, opExecute, u)
	if err != nil || r.Refused {
		t.stream.release(false)
		t.logFailure(u, r, err)
		a := modeller.NewErrorResponse(modeller.Aborted, coder.QueueTimeout.String()+" the holder did not answer")
		a.State = modeller.TransactionFailed
		return a
	}
	if !r.Open {
		t.stream.release(true)
	}
	return r.Answer.toAnswer()
}

// Commit commits the transaction.
func (t *transaction) Commit(ctx context.Context, u dispatcher.Unit) modeller.Response {
	r, err := t.send(ctx, opCommit, u)
	t.stream.release(err == nil)
	switch {
	case err != nil:
		t.logFailure(u, r, err)
		return unansweredCommit(t.wrote)
	case r.Refused:
		t.logFailure(u, r, err)
		return unansweredCommit(false)
	}
	return r.Answer.toAnswer()
}

// Rollback rolls the transaction back; its client has been answered before.
func (t *transaction) Rollback(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, rollbackTimeout)
	defer cancel()
	_, err := t.stream.exchange(ctx, request{Operation: opRollback})
	// If the request fails, the holder rolls back when the connection closes.
	t.stream.release(err == nil)
}

// send sends a request of the transaction within the timeout of its route.
func (t *transaction) send(ctx context.Context, op operation, u dispatcher.Unit) (response, error) {
	ctx, cancel := context.WithTimeout(ctx, u.Route.Timeout)
	defer cancel()
	sent, _ := t.stream.delegator.timestamps.Advanced(t.stream.delegator.clock.Now(), t.stream.address)
	return t.stream.exchangeWithPings(ctx, op == opExecute, request{Operation: op, Unit: newWireUnit(u, 0), Sent: sent})
}

// logFailure logs why a transaction failed.
func (t *transaction) logFailure(u dispatcher.Unit, r response, err error) {
	t.stream.delegator.journal.Request("holder-failed", u.Statement.ID, journaler.F("holder", t.holder), journaler.F("kind", u.Statement.Kind),
		journaler.Reason(r.Answer.Detail), journaler.F("error", err))
}

// unansweredCommit returns the answer to a commit whose outcome the holder did not report.
func unansweredCommit(wrote bool) modeller.Response {
	if wrote {
		return dispatcher.InDoubtResponse("the holder did not answer the commit")
	}
	return modeller.NewErrorResponse(modeller.Aborted, coder.QueueTimeout.String()+" the holder did not answer")
}
