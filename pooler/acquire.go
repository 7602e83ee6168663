package pooler

import (
	"context"
	"time"

	"github.com/marigoldgauge/marigoldgauge/coder"
)

// acquire acquires a slot for a batch and, for the first batch, a connection.
func (w *Work) acquire(ctx context.Context, b *Batch) error {
	if w.conn != nil {
		return w.resumeTransaction(ctx, b)
	}
	deadline := w.pool.clock.Now().Add(w.spec.Timeout)
	w.pool.mu.Lock()
	if b.CountsAgainstRate {
		if err := w.pool.admit(ctx, w.spec.Organisation, w.pool.settings.MaxRateWait); err != nil {
			w.pool.mu.Unlock()
			return err
		}
	}
	return w.acquireConn(ctx, deadline)
}

// acquireConn acquires a slot and a connection, and retries until the deadline if
// no connection can be opened. The caller holds p.mu, which is released on return.
func (w *Work) acquireConn(ctx context.Context, deadline time.Time) error {
	for {
		if err := w.pool.selectInstance(ctx, w, deadline); err != nil {
			return err
		}
		err := w.connect(ctx)
		if err == nil {
			return nil
		}
		now := w.pool.clock.Now()
		if !now.Before(deadline) || ctx.Err() != nil {
			return err
		}
		if err := sleep(ctx, reconnectDelay); err != nil {
			return err
		}
		w.pool.mu.Lock()
	}
}

// reconnectDelay is the delay before the retry of a failed connection attempt.
const reconnectDelay = 20 * time.Millisecond

// sleep waits for d or until ctx is done.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return coder.New(coder.Draining, "the request was given up")
	}
}

// resumeTransaction takes a slot for the next batch of a transaction. It bypasses
// the queue because the transaction may hold locks that others wait for.
func (w *Work) resumeTransaction(ctx context.Context, b *Batch) error {
	w.pool.mu.Lock()
	defer w.pool.mu.Unlock()
	if b.CountsAgainstRate {
		if err := w.pool.admit(ctx, w.spec.Organisation, w.spec.Timeout); err != nil {
			return err
		}
	}
	now := w.pool.clock.Now()
	w.instance.queue.ChargeIdle(w.spec.Organisation, now.Sub(w.idleSince)/idleChargeDivisor)
	w.instance.queue.Start(w.spec.Organisation)
	w.instance.running++
	w.startedAt = now
	w.idleSince = time.Time{}
	return nil
}

// idleChargeDivisor divides the time of an idle transaction that is charged to its
// organisation: there are several connections per slot, and an idle transaction
// occupies only one of them.
const idleChargeDivisor = 8

// returnSlot returns a granted slot that is no longer needed.
func (p *Pool) returnSlot(w *Work) {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	w.instance.running--
	w.instance.queue.RevertStart(w.spec.Organisation)
	w.instance.putConn(now, w.spec.Organisation, nil)
}

// connect takes an idle connection for a granted slot or opens a new one.
func (w *Work) connect(ctx context.Context) error {
	if w.conn != nil {
		return nil
	}
	p := w.pool
	now := p.clock.Now()
	p.mu.Lock()
	w.startedAt = now
	w.conn = w.instance.idleConn(now, w)
	epoch := p.epoch
	p.mu.Unlock()
	if w.conn != nil {
		return nil
	}
	c, err := connect(ctx, w.instance.target, epoch, p.settings.ConnectTimeout)
	if err != nil {
		p.returnSlot(w)
		p.mu.Lock()
		p.activeWork--
		p.mu.Unlock()
		return coder.New(coder.ConnectFailed, "no connection to "+w.instance.id+" of "+p.settings.Name).WithRetryAfter(retryDelay)
	}
	p.mu.Lock()
	w.conn = c
	w.startedAt = p.clock.Now()
	w.instance.activeConns[c] = w
	p.mu.Unlock()
	return nil
}

// releaseConn returns the connection of a unit of work to its instance. The
// caller holds p.mu.
func (p *Pool) releaseConn(now time.Time, w *Work) {
	if p.state != Owning {
		w.conn.tainted = true
	}
	w.instance.putConn(now, w.spec.Organisation, w.conn)
	w.conn = nil
	w.inTransaction = false
	p.activeWork--
}

// awaitConfirmation waits until a majority of the instances has confirmed the term of a commit.
func (p *Pool) awaitConfirmation(ctx context.Context, term uint64, committed time.Time) error {
	p.mu.Lock()
	if p.state != Owning && p.state != Releasing {
		p.mu.Unlock()
		return notConfirmed()
	}
	pending := p.confirmer.Add(committed, term, committed, committed.Add(confirmTimeout), p.tracker)
	for _, i := range p.instances {
		i.requestProbe()
	}
	p.mu.Unlock()
	select {
	case <-pending.Done():
	case <-ctx.Done():
		return coder.NewUnknown(coder.NotConfirmed, "the request was given up before its commit was confirmed")
	}
	if pending.Confirmed() {
		return nil
	}
	return notConfirmed()
}

// notConfirmed returns the error for a write that was committed but may be lost.
func notConfirmed() error {
	return coder.NewUnknown(coder.NotConfirmed, "the primary may have been replaced when the write committed")
}
