package pooler

import (
	"context"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/marigoldgauge/marigoldgauge/coder"
	"github.com/marigoldgauge/marigoldgauge/tracker"
)

// Work is one unit of work at the owner of the pool: one batch, or the batches
// of one transaction. Only Cancel is safe for concurrent use.
type Work struct {
	pool      *Pool
	spec      WorkSpec
	instance  *instance
	conn      *conn
	term      uint64
	primary   bool
	startedAt time.Time
	idleSince time.Time
	// inTransaction reports whether a transaction is open.
	inTransaction bool
}

// Exchange runs one batch and forwards its response to the sink.
//
// The outcome of a returned error says whether the batch ran. A response outside
// a transaction releases the connection.
func (w *Work) Exchange(ctx context.Context, b *Batch, sink Sink) (Result, error) {
	if err := w.acquire(ctx, b); err != nil {
		return Result{}, err
	}
	resp := &response{conn: w.conn, sink: sink, holdWrites: true, out: w.pool.getBuffer(), requestedAt: w.startedAt, endsWithFlush: b.endsWithFlush()}
	defer func() { w.pool.putBuffer(resp.out) }()
	if err := w.sendAndReceive(b, resp); err != nil {
		w.discardConn()
		return Result{}, exchangeError(b, resp, w.spec, err)
	}
	return w.finishBatch(ctx, b, resp)
}

// readsNeedConfirmation reports whether reads need a confirmation, which is so if
// they establish the position of the session at the primary.
func (w *Work) readsNeedConfirmation() bool {
	return w.spec.PositionUnknown && w.primary
}

// sendAndReceive sends a batch and receives its response.
func (w *Work) sendAndReceive(b *Batch, resp *response) error {
	if err := w.conn.setReadTimeout(w.pool.settings.StatementTimeout); err != nil {
		return err
	}
	group, err := w.conn.send(w.spec.Organisation, b)
	if err != nil {
		return err
	}
	if err := resp.receive(); err != nil {
		w.conn.close()
		_ = group.Wait()
		return err
	}
	return group.Wait()
}

// exchangeError returns the error for a batch whose response was interrupted.
func exchangeError(b *Batch, resp *response, spec WorkSpec, err error) error {
	switch {
	case !spec.ReadOnly || b.Writes:
		return coder.NewUnknown(coder.OutcomeUnknown, "the answer of the endpoint broke off: "+err.Error())
	case resp.forwarded:
		return coder.NewUnknown(coder.AnswerBroken, "the answer of the endpoint broke off: "+err.Error())
	default:
		return coder.New(coder.ConnectFailed, "the endpoint broke off before it answered a read")
	}
}

// finishBatch evaluates the response to a batch, waits for the confirmation of a
// write, and releases the connection outside a transaction.
func (w *Work) finishBatch(ctx context.Context, b *Batch, resp *response) (Result, error) {
	r := Result{
		TransactionStatus: resp.status,
		Position:          w.conn.position,
		Primary:           w.primary,
		Failed:            resp.errorCode != "",
	}
	idle := resp.status == 'I'
	needsConfirmation := idle && w.primary && resp.committed && (b.Writes || w.readsNeedConfirmation())
	valid := w.recordResponse(resp, r, needsConfirmation)
	if needsConfirmation {
		defer w.pool.endConfirmation()
	}
	if refusedByReplica(resp) {
		return Result{}, coder.New(coder.ReplicaRefused, "the instance takes no writes")
	}
	if !valid {
		return Result{}, w.rejectOutdated(resp)
	}
	if needsConfirmation {
		if err := w.pool.awaitConfirmation(ctx, w.term, w.pool.clock.Now()); err != nil {
			return Result{}, err
		}
		r.WriteConfirmed = b.Writes && !r.Failed
		r.Position.Term = max(r.Position.Term, 1)
	}
	if err := resp.flushHeld(); err != nil {
		return r, coder.NewUnknown(coder.OutcomeUnknown, "the caller went away")
	}
	return r, nil
}

// recordResponse releases the slot and, outside a transaction, the connection, and
// records the position of the instance. A write that needs confirmation still
// counts as active work, so that the pool is not released before it is confirmed.
// It reports whether a read satisfies the requirements of its session.
func (w *Work) recordResponse(resp *response, r Result, needsConfirmation bool) (valid bool) {
	p := w.pool
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	w.instance.finishStatement(now, w.spec.Organisation, now.Sub(w.startedAt))
	w.idleSince = now
	w.inTransaction = resp.status != 'I'
	if needsConfirmation {
		p.activeWork++
	}
	p.tracker.ObservePosition(w.instance.id, resp.requestedAt, now, r.Position)
	if !w.inTransaction {
		p.releaseConn(now, w)
	}
	if !w.spec.ReadOnly || w.spec.PositionUnknown || r.Failed {
		return true
	}
	return p.tracker.Satisfies(now, tracker.Requirement{MinPosition: w.spec.MinPosition, MaxStaleness: p.staleness(w.spec.Organisation)}, r.Position)
}

// endConfirmation ends the active work of a write that needed confirmation.
func (p *Pool) endConfirmation() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.activeWork--
}

// refusedByReplica reports whether an instance that is not, or no longer, the
// primary rejected a write (SQLSTATE 25006). Nothing ran in this case.
func refusedByReplica(resp *response) bool {
	return resp.errorCode == "25006" && !resp.forwarded && resp.status == 'I'
}

// rejectOutdated returns the error for a read at an instance that is behind the
// session, and drops its response.
func (w *Work) rejectOutdated(resp *response) error {
	w.Close()
	if resp.forwarded {
		return coder.NewUnknown(coder.AnswerBroken, "the instance turned out to be behind the session midway in its answer")
	}
	return coder.New(coder.ReadOutdated, "the instance turned out to be behind the session")
}

// Close rolls back an open transaction and releases the connection.
func (w *Work) Close() {
	if w.conn == nil {
		return
	}
	if w.inTransaction {
		w.rollback()
	}
	w.releaseConn()
}

// releaseConn returns the connection to its instance.
func (w *Work) releaseConn() {
	now := w.pool.clock.Now()
	w.pool.mu.Lock()
	defer w.pool.mu.Unlock()
	w.pool.releaseConn(now, w)
}

// rollback rolls back a transaction that the client left open.
func (w *Work) rollback() {
	b := &Batch{Steps: []Step{{Kind: Query, Raw: encode(nil, &pgproto3.Query{String: "rollback"})}}}
	resp := &response{conn: w.conn, sink: discard{}}
	if err := w.sendAndReceive(b, resp); err != nil || resp.status != 'I' {
		w.conn.tainted = true
	}
}

// discard is a Sink that drops all frames.
type discard struct{}

func (discard) WriteFrames([]byte) error { return nil }

// discardConn closes a connection that is in an unknown state.
func (w *Work) discardConn() {
	w.conn.tainted = true
	w.releaseSlot()
	w.releaseConn()
}

// releaseSlot releases the slot and keeps the connection.
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
