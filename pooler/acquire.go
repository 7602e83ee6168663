package pooler

import (
	"context"
	"time"

	"github.com/marigoldgauge/marigoldgauge/coder"
)

// acquire gets a slot, and for the first batch a connection.
func (w *Work) acquire(ctx context.Context, b *Batch) error {
	if w.conn != nil {
		return w.resumeTransaction(ctx, b)
	}
	deadline := w.pool.clock.Now().Add(w.spec.Timeout)
	w.pool.mu.Lock()
	if b.Charged {
		if err := w.pool.admit(ctx, w.spec.Organisation, w.pool.settings.RateWait); err != nil {
			w.pool.mu.Unlock()
			return err
		}
	}
	return w.acquireConn(ctx, deadline)
}

// acquireConn gets a slot and a connection. The lock is held, and released on return.
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

// reconnectDelay is the wait after a connection could not be opened.
const reconnectDelay = 20 * time.Millisecond

// sleep waits for a time.
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

// resumeTransaction takes a slot for the next batch of a transaction. It does not queue:
// the transaction may hold locks that others wait for.
func (w *Work) resumeTransaction(ctx context.Context, b *Batch) error {
	w.pool.mu.Lock()
	defer w.pool.mu.Unlock()
	if b.Charged {
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

// idleChargeDivisor is the part of the time of an idle transaction that is charged: a
// connection is one of several that a slot has.
const idleChargeDivisor = 8

// returnSlot gives back a slot that is not wanted any more.
func (p *Pool) returnSlot(w *Work) {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	w.instance.running--
	w.instance.queue.RevertStart(w.spec.Organisation)
	w.instance.putConn(now, w.spec.Organisation, nil)
}

// connect gets the connection for a granted slot.
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
		return coder.New(coder.ConnectFailed, "no connection to "+w.instance.id+" of "+p.settings.Name).After(retryDelay)
	}
	p.mu.Lock()
	w.conn = c
	w.startedAt = p.clock.Now()
	w.instance.activeConns[c] = w
	p.mu.Unlock()
	return nil
}

// releaseConn takes the connection of a work back. The lock is held.
func (p *Pool) releaseConn(now time.Time, w *Work) {
	if p.state != Owning {
		w.conn.tainted = true
	}
	w.instance.putConn(now, w.spec.Organisation, w.conn)
	w.conn = nil
	w.inTransaction = false
	p.activeWork--
}

// awaitConfirmation waits until a majority has confirmed the term of a commit.
func (p *Pool) awaitConfirmation(ctx context.Context, term uint64, committed time.Time) error {
	p.mu.Lock()
	if p.state != Owning && p.state != Releasing {
		p.mu.Unlock()
		return notConfirmed()
	}
	w := p.confirmer.Add(committed, term, committed, committed.Add(confirmTimeout), p.tracker)
	for _, i := range p.instances {
		i.requestProbe()
	}
	p.mu.Unlock()
	select {
	case <-w.Done():
	case <-ctx.Done():
		return coder.NewUnknown(coder.NotConfirmed, "the request was given up before its commit was confirmed")
	}
	if w.Confirmed() {
		return nil
	}
	return notConfirmed()
}

// notConfirmed returns the error of a write that committed and may be lost.
func notConfirmed() error {
	return coder.NewUnknown(coder.NotConfirmed, "the primary may have been replaced when the write committed")
}
