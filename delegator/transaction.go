package delegator

import (
	"context"
	"time"

	"github.com/marigoldgauge/marigoldgauge/coder"
	"github.com/marigoldgauge/marigoldgauge/dispatcher"
	"github.com/marigoldgauge/marigoldgauge/journaler"
	"github.com/marigoldgauge/marigoldgauge/phraser"
)

// rollbackWithin bounds the rollback of a transaction whose caller has been answered.
const rollbackWithin = 500 * time.Millisecond

// transaction is a transaction at a holder. It implements dispatcher.Transaction.
type transaction struct {
	stream   *stream
	holder   string
	instance string
	wrote    bool
}

// Instance returns the id of the instance that runs the transaction.
func (t *transaction) Instance() string { return t.instance }

// Wrote reports whether a statement of the transaction may have changed data.
func (t *transaction) Wrote() bool { return t.wrote }

// Run runs a statement in the transaction.
func (t *transaction) Run(ctx context.Context, u dispatcher.Unit) phraser.Answer {
	t.wrote = t.wrote || u.Writes
	r, err := t.ask(ctx, proceed, u)
	if err != nil || r.Refused {
		t.stream.end(false)
		t.note(u, r, err)
		a := phraser.Refuse(phraser.Aborted, coder.QueueTimeout.String()+" the holder did not answer")
		a.State = phraser.Broken
		return a
	}
	if !r.Open {
		t.stream.end(true)
	}
	return r.Answer.unpack()
}

// Commit ends the transaction and keeps its changes.
func (t *transaction) Commit(ctx context.Context, u dispatcher.Unit) phraser.Answer {
	r, err := t.ask(ctx, commit, u)
	t.stream.end(err == nil)
	switch {
	case err != nil:
		t.note(u, r, err)
		return unknown(t.wrote)
	case r.Refused:
		t.note(u, r, err)
		return unknown(false)
	}
	return r.Answer.unpack()
}

// Rollback drops the transaction; its caller has been answered.
func (t *transaction) Rollback(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, rollbackWithin)
	defer cancel()
	_, err := t.stream.exchange(ctx, request{Verb: rollback})
	// Without an answer the end of the connection rolls back.
	t.stream.end(err == nil)
}

// ask sends a request of the transaction within the time of its route.
func (t *transaction) ask(ctx context.Context, v verb, u dispatcher.Unit) (reply, error) {
	ctx, cancel := context.WithTimeout(ctx, u.Route.Timeout)
	defer cancel()
	present, _ := t.stream.d.stamps.Present(t.stream.d.clock.Now(), t.stream.at)
	return t.stream.watched(ctx, v == proceed, request{Verb: v, Unit: pack(u, 0), Sent: present})
}

// note records why a transaction ended.
func (t *transaction) note(u dispatcher.Unit, r reply, err error) {
	t.stream.d.journal.Request("holder-failed", u.Statement.ID, journaler.F("holder", t.holder), journaler.F("kind", u.Statement.Kind),
		journaler.Reason(r.Answer.Detail), journaler.F("error", err))
}

// unknown is the answer to a commit that a holder did not answer.
func unknown(wrote bool) phraser.Answer {
	if wrote {
		return dispatcher.InDoubt("the holder did not answer the commit")
	}
	return phraser.Refuse(phraser.Aborted, coder.QueueTimeout.String()+" the holder did not answer")
}
