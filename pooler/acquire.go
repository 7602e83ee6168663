package pooler

import (
	"context"
	"time"

	"github.com/marigoldgauge/marigoldgauge/coder"
)

// start gets a slot, and for the first batch a connection.
func (w *Work) start(ctx context.Context, b *Batch) error {
	if w.conn != nil {
		return w.resume(ctx, b)
	}
	deadline := w.pool.clock.Now().Add(w.ask.Timeout)
	w.pool.mu.Lock()
	if b.Charged {
		if err := w.pool.admit(ctx, w.ask.Organisation, w.pool.settings.RateWait); err != nil {
			w.pool.mu.Unlock()
			return err
		}
	}
	return w.place(ctx, deadline)
}

// place gets a slot and a connection. The lock is held, and released on return.
func (w *Work) place(ctx context.Context, deadline time.Time) error {
	for {
		if err := w.pool.choose(ctx, w, deadline); err != nil {
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
		if err := pause(ctx, reconnectPause); err != nil {
			return err
		}
		w.pool.mu.Lock()
	}
}

// reconnectPause is the wait after a connection could not be opened.
const reconnectPause = 20 * time.Millisecond

// pause waits for a time.
func pause(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return coder.New(coder.Draining, "the request was given up")
	}
}

// resume takes a slot for the next batch of a transaction. It does not queue:
// the transaction may hold locks that others wait for.
func (w *Work) resume(ctx context.Context, b *Batch) error {
	w.pool.mu.Lock()
	defer w.pool.mu.Unlock()
	if b.Charged {
		if err := w.pool.admit(ctx, w.ask.Organisation, w.ask.Timeout); err != nil {
			return err
		}
	}
	now := w.pool.clock.Now()
	w.instance.queue.Charge(w.ask.Organisation, now.Sub(w.paused)/idleShare)
	w.instance.queue.Start(w.ask.Organisation)
	w.instance.running++
	w.began = now
	w.paused = time.Time{}
	return nil
}

// idleShare is the part of the time of an idle transaction that is charged: a
// connection is one of several that a slot has.
const idleShare = 8

// forgo gives back a slot that is not wanted any more.
func (p *Pool) forgo(w *Work) {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	w.instance.running--
	w.instance.queue.Abort(w.ask.Organisation)
	w.instance.put(now, w.ask.Organisation, nil)
}

// connect gets the connection for a granted slot.
func (w *Work) connect(ctx context.Context) error {
	if w.conn != nil {
		return nil
	}
	p := w.pool
	now := p.clock.Now()
	p.mu.Lock()
	w.began = now
	w.conn = w.instance.connection(now, w)
	epoch := p.epoch
	p.mu.Unlock()
	if w.conn != nil {
		return nil
	}
	c, err := connect(ctx, w.instance.target, epoch, p.settings.ConnectTimeout)
	if err != nil {
		p.forgo(w)
		p.mu.Lock()
		p.working--
		p.mu.Unlock()
		return coder.New(coder.ConnectFailed, "no connection to "+w.instance.id+" of "+p.settings.Name).After(retrySoon)
	}
	p.mu.Lock()
	w.conn = c
	w.began = p.clock.Now()
	w.instance.leased[c] = w
	p.mu.Unlock()
	return nil
}

// release takes the connection of a work back. The lock is held.
func (p *Pool) release(now time.Time, w *Work) {
	if p.state != Owning {
		w.conn.tainted = true
	}
	w.instance.put(now, w.ask.Organisation, w.conn)
	w.conn = nil
	w.open = false
	p.working--
}

// confirm waits until a majority has confirmed the term of a commit.
func (p *Pool) confirm(ctx context.Context, term uint64, committed time.Time) error {
	p.mu.Lock()
	if p.state != Owning && p.state != Releasing {
		p.mu.Unlock()
		return notConfirmed()
	}
	w := p.confirms.Add(committed, term, committed, committed.Add(confirmFor), p.tracker)
	for _, i := range p.instances {
		i.poke()
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
