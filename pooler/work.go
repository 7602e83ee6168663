package pooler

import (
	"context"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/marigoldgauge/marigoldgauge/coder"
	"github.com/marigoldgauge/marigoldgauge/tracker"
)

// Work is one unit of work at the owner of the pool: one batch, or the batches
// of one transaction. It is used by one goroutine; Cancel by any.
type Work struct {
	pool      *Pool
	spec      Ask
	instance  *instance
	conn      *conn
	term      uint64
	primary   bool
	startedAt time.Time
	idleSince time.Time
	// inTransaction reports that a transaction is open.
	inTransaction bool
}

// Exchange runs one batch and passes its answer on to the sink.
//
// An error tells by its outcome whether the batch ran. After an answer outside
// a transaction the connection is free again.
func (w *Work) Exchange(ctx context.Context, b *Batch, sink Sink) (Result, error) {
	if err := w.acquire(ctx, b); err != nil {
		return Result{}, err
	}
	a := &response{conn: w.conn, sink: sink, holdWrites: true, out: w.pool.getBuffer(), requestedAt: w.startedAt, endsWithFlush: b.endsWithFlush()}
	defer func() { w.pool.putBuffer(a.out) }()
	if err := w.sendAndReceive(b, a); err != nil {
		w.discardConn()
		return Result{}, exchangeError(b, a, w.spec, err)
	}
	return w.finishBatch(ctx, b, a)
}

// readsNeedConfirmation reports whether reads need a confirmation: they define the session's position.
func (w *Work) readsNeedConfirmation() bool {
	return w.spec.Unknown && w.primary
}

// sendAndReceive sends the batch and receives its answer.
func (w *Work) sendAndReceive(b *Batch, a *response) error {
	if err := w.conn.setReadTimeout(w.pool.settings.StatementTimeout); err != nil {
		return err
	}
	group, err := w.conn.send(w.spec.Organisation, b)
	if err != nil {
		return err
	}
	if err := a.receive(); err != nil {
		w.conn.close()
		_ = group.Wait()
		return err
	}
	return group.Wait()
}

// exchangeError returns the error of an exchange that broke off.
func exchangeError(b *Batch, a *response, ask Ask, err error) error {
	switch {
	case !ask.ReadOnly || b.Writes:
		return coder.NewUnknown(coder.OutcomeUnknown, "the answer of the endpoint broke off: "+err.Error())
	case a.forwarded:
		return coder.NewUnknown(coder.AnswerBroken, "the answer of the endpoint broke off: "+err.Error())
	default:
		return coder.New(coder.ConnectFailed, "the endpoint broke off before it answered a read")
	}
}

// finishBatch decides what the answer means and lets go of the connection outside a transaction.
func (w *Work) finishBatch(ctx context.Context, b *Batch, a *response) (Result, error) {
	r := Result{
		TransactionStatus: a.status,
		Position:          w.conn.position,
		Primary:           w.primary,
		Failed:            a.errorCode != "",
	}
	idle := a.status == 'I'
	confirms := idle && w.primary && a.committed && (b.Writes || w.readsNeedConfirmation())
	valid := w.recordResponse(a, r, confirms)
	if confirms {
		defer w.pool.endConfirmation()
	}
	if refusedByReplica(a) {
		return Result{}, coder.New(coder.ReplicaRefused, "the instance takes no writes")
	}
	if !valid {
		return Result{}, w.rejectOutdated(a)
	}
	if confirms {
		if err := w.pool.awaitConfirmation(ctx, w.term, w.pool.clock.Now()); err != nil {
			return Result{}, err
		}
		r.Wrote = b.Writes && !r.Failed
		r.Position.Term = max(r.Position.Term, 1)
	}
	if err := a.flushHeld(); err != nil {
		return r, coder.NewUnknown(coder.OutcomeUnknown, "the caller went away")
	}
	return r, nil
}

// recordResponse takes an answer in: the slot is free again, outside a transaction the
// connection too, and the position is known. A write that is to be confirmed
// still counts as work, so that the pool is not released before. It reports
// whether a read still satisfies its session.
func (w *Work) recordResponse(a *response, r Result, confirms bool) (valid bool) {
	p := w.pool
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	w.instance.finishStatement(now, w.spec.Organisation, now.Sub(w.startedAt))
	w.idleSince = now
	w.inTransaction = a.status != 'I'
	if confirms {
		p.activeWork++
	}
	p.tracker.ObservePosition(w.instance.id, a.requestedAt, now, r.Position)
	if !w.inTransaction {
		p.releaseConn(now, w)
	}
	if !w.spec.ReadOnly || w.spec.Unknown || r.Failed {
		return true
	}
	return p.tracker.Serves(now, tracker.Need{Required: w.spec.Required, MaxStaleness: p.staleness(w.spec.Organisation)}, r.Position)
}

// endConfirmation ends the work of a write that was to be confirmed.
func (p *Pool) endConfirmation() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.activeWork--
}

// refusedByReplica reports whether an instance that takes no writes, or no
// longer does, refused a statement; nothing ran.
func refusedByReplica(a *response) bool {
	return a.errorCode == "25006" && !a.forwarded && a.status == 'I'
}

// rejectOutdated drops the answer to a read that came from behind the session.
func (w *Work) rejectOutdated(a *response) error {
	w.Close()
	if a.forwarded {
		return coder.NewUnknown(coder.AnswerBroken, "the instance turned out to be behind the session midway in its answer")
	}
	return coder.New(coder.ReadOutdated, "the instance turned out to be behind the session")
}

// Close lets go of the connection; an open transaction is rolled back.
func (w *Work) Close() {
	if w.conn == nil {
		return
	}
	if w.inTransaction {
		w.rollback()
	}
	w.releaseConn()
}

// releaseConn gives the connection back.
func (w *Work) releaseConn() {
	now := w.pool.clock.Now()
	w.pool.mu.Lock()
	defer w.pool.mu.Unlock()
	w.pool.releaseConn(now, w)
}

// rollback ends a transaction that its caller left open.
func (w *Work) rollback() {
	b := &Batch{Steps: []Step{{Kind: Query, Raw: encode(nil, &pgproto3.Query{String: "rollback"})}}}
	a := &response{conn: w.conn, sink: discard{}}
	if err := w.sendAndReceive(b, a); err != nil || a.status != 'I' {
		w.conn.tainted = true
	}
}

// discard is a Sink that drops everything.
type discard struct{}

// Frames drops the frames.
func (discard) Frames([]byte) error { return nil }

// discardConn gives up a connection in an unknown state.
func (w *Work) discardConn() {
	w.conn.tainted = true
	w.releaseSlot()
	w.releaseConn()
}

// releaseSlot gives the slot back while the connection is kept.
func (w *Work) releaseSlot() {
	now := w.pool.clock.Now()
	w.pool.mu.Lock()
	defer w.pool.mu.Unlock()
	w.instance.finishStatement(now, w.spec.Organisation, now.Sub(w.startedAt))
	w.idleSince = now
}

// Cancel interrupts the running statement.
func (w *Work) Cancel(ctx context.Context) error {
	w.pool.mu.Lock()
	c := w.conn
	w.pool.mu.Unlock()
	if c == nil {
		return nil
	}
	return c.cancel(ctx)
}
