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
	pool     *Pool
	ask      Ask
	instance *instance
	conn     *conn
	term     uint64
	primary  bool
	began    time.Time
	paused   time.Time
	// open reports that a transaction is open.
	open bool
}

// Exchange runs one batch and passes its answer on to the sink.
//
// An error tells by its outcome whether the batch ran. After an answer outside
// a transaction the connection is free again.
func (w *Work) Exchange(ctx context.Context, b *Batch, sink Sink) (Result, error) {
	if err := w.start(ctx, b); err != nil {
		return Result{}, err
	}
	a := &answer{conn: w.conn, sink: sink, hold: true, out: w.pool.buffer(), asked: w.began, flushes: b.flushes()}
	defer func() { w.pool.recycle(a.out) }()
	if err := w.converse(b, a); err != nil {
		w.abandon()
		return Result{}, broken(b, a, w.ask, err)
	}
	return w.conclude(ctx, b, a)
}

// confirms reports whether reads need a confirmation: they define the session's position.
func (w *Work) confirms() bool {
	return w.ask.Unknown && w.primary
}

// converse sends the batch and receives its answer.
func (w *Work) converse(b *Batch, a *answer) error {
	if err := w.conn.bound(w.pool.settings.StatementTimeout); err != nil {
		return err
	}
	group, err := w.conn.send(w.ask.Organisation, b)
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

// broken returns the error of an exchange that broke off.
func broken(b *Batch, a *answer, ask Ask, err error) error {
	switch {
	case !ask.ReadOnly || b.Writes:
		return coder.NewUnknown(coder.OutcomeUnknown, "the answer of the endpoint broke off: "+err.Error())
	case a.passed:
		return coder.NewUnknown(coder.AnswerBroken, "the answer of the endpoint broke off: "+err.Error())
	default:
		return coder.New(coder.ConnectFailed, "the endpoint broke off before it answered a read")
	}
}

// conclude decides what the answer means and lets go of the connection outside a transaction.
func (w *Work) conclude(ctx context.Context, b *Batch, a *answer) (Result, error) {
	r := Result{
		TransactionStatus: a.status,
		Position:          w.conn.position,
		Primary:           w.primary,
		Failed:            a.failure != "",
	}
	idle := a.status == 'I'
	confirms := idle && w.primary && a.committed && (b.Writes || w.confirms())
	valid := w.settle(a, r, confirms)
	if confirms {
		defer w.pool.confirmed()
	}
	if refusedByReplica(a) {
		return Result{}, coder.New(coder.ReplicaRefused, "the instance takes no writes")
	}
	if !valid {
		return Result{}, w.outdated(a)
	}
	if confirms {
		if err := w.pool.confirm(ctx, w.term, w.pool.clock.Now()); err != nil {
			return Result{}, err
		}
		r.Wrote = b.Writes && !r.Failed
		r.Position.Term = max(r.Position.Term, 1)
	}
	if err := a.release(); err != nil {
		return r, coder.NewUnknown(coder.OutcomeUnknown, "the caller went away")
	}
	return r, nil
}

// settle takes an answer in: the slot is free again, outside a transaction the
// connection too, and the position is known. A write that is to be confirmed
// still counts as work, so that the pool is not released before. It reports
// whether a read still satisfies its session.
func (w *Work) settle(a *answer, r Result, confirms bool) (valid bool) {
	p := w.pool
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	w.instance.finish(now, w.ask.Organisation, now.Sub(w.began))
	w.paused = now
	w.open = a.status != 'I'
	if confirms {
		p.working++
	}
	p.tracker.ObservePosition(w.instance.id, a.asked, now, r.Position)
	if !w.open {
		p.release(now, w)
	}
	if !w.ask.ReadOnly || w.ask.Unknown || r.Failed {
		return true
	}
	return p.tracker.Satisfies(now, tracker.Requirement{MinPosition: w.ask.Required, MaxStaleness: p.staleness(w.ask.Organisation)}, r.Position)
}

// confirmed ends the work of a write that was to be confirmed.
func (p *Pool) confirmed() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.working--
}

// refusedByReplica reports whether an instance that takes no writes, or no
// longer does, refused a statement; nothing ran.
func refusedByReplica(a *answer) bool {
	return a.failure == "25006" && !a.passed && a.status == 'I'
}

// outdated drops the answer to a read that came from behind the session.
func (w *Work) outdated(a *answer) error {
	w.Close()
	if a.passed {
		return coder.NewUnknown(coder.AnswerBroken, "the instance turned out to be behind the session midway in its answer")
	}
	return coder.New(coder.ReadOutdated, "the instance turned out to be behind the session")
}

// Close lets go of the connection; an open transaction is rolled back.
func (w *Work) Close() {
	if w.conn == nil {
		return
	}
	if w.open {
		w.rollback()
	}
	w.letGo()
}

// letGo gives the connection back.
func (w *Work) letGo() {
	now := w.pool.clock.Now()
	w.pool.mu.Lock()
	defer w.pool.mu.Unlock()
	w.pool.release(now, w)
}

// rollback ends a transaction that its caller left open.
func (w *Work) rollback() {
	b := &Batch{Steps: []Step{{Kind: Query, Raw: encode(nil, &pgproto3.Query{String: "rollback"})}}}
	a := &answer{conn: w.conn, sink: discard{}}
	if err := w.converse(b, a); err != nil || a.status != 'I' {
		w.conn.tainted = true
	}
}

// discard is a Sink that drops everything.
type discard struct{}

// Frames drops the frames.
func (discard) Frames([]byte) error { return nil }

// abandon gives up a connection in an unknown state.
func (w *Work) abandon() {
	w.conn.tainted = true
	w.finish()
	w.letGo()
}

// finish gives the slot back while the connection is kept.
func (w *Work) finish() {
	now := w.pool.clock.Now()
	w.pool.mu.Lock()
	defer w.pool.mu.Unlock()
	w.instance.finish(now, w.ask.Organisation, now.Sub(w.began))
	w.paused = now
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
