package pooler

import (
	"context"
	"errors"
	"time"

	"github.com/marigoldgauge/marigoldgauge/coder"
	"github.com/marigoldgauge/marigoldgauge/explainer"
	"github.com/marigoldgauge/marigoldgauge/scheduler"
	"github.com/marigoldgauge/marigoldgauge/tracker"
)

// choose finds an instance for the work and waits for a slot there. The lock is
// held, and released on return.
func (p *Pool) choose(ctx context.Context, w *Work, deadline time.Time) error {
	started := p.clock.Now()
	for {
		now := p.clock.Now()
		if p.state != Owning {
			p.mu.Unlock()
			return p.unavailable()
		}
		if p.tracker.Lost(w.ask.Required) {
			p.mu.Unlock()
			return coder.New(coder.WriteLost, "a change of primary lost the last write of this session at "+w.ask.Required.String())
		}
		if i := p.target(now, w, now.Sub(started) < p.settings.ReplicaWait); i != nil {
			w.instance = i
			w.term = p.tracker.Term()
			w.primary = p.tracker.Primary() != nil && p.tracker.Primary().ID == i.id
			err := p.enter(ctx, w, now, deadline)
			if !errors.Is(err, errMoved) {
				return err
			}
			p.mu.Lock()
			continue
		}
		if err := p.await(ctx, w, now, started, deadline); err != nil {
			p.mu.Unlock()
			return err
		}
	}
}

// target returns the instance that serves the work now, or nil. The lock is held.
func (p *Pool) target(now time.Time, w *Work, patient bool) *instance {
	if !w.ask.ReadOnly {
		return p.writable(now)
	}
	need := tracker.Requirement{MinPosition: w.ask.Required, MaxStaleness: p.staleness(w.ask.Organisation)}
	if !w.ask.Unknown {
		if i := p.nearest(p.tracker.Replicas(now, need)); i != nil {
			return i
		}
		if patient {
			return nil
		}
	}
	if c, ok := p.tracker.PrimaryCandidate(now, need); ok && !p.paused {
		return p.instance(c.ID)
	}
	return nil
}

// writable returns the primary when it may take a write. The lock is held.
func (p *Pool) writable(now time.Time) *instance {
	if p.paused {
		return nil
	}
	if primary, ok := p.tracker.WritablePrimary(now, writableAge); ok {
		return p.instance(primary.ID)
	}
	return nil
}

// nearest returns the candidate with the shortest expected time. The lock is held.
func (p *Pool) nearest(candidates []tracker.Candidate) *instance {
	var best *instance
	for _, c := range candidates {
		i := p.instance(c.ID)
		if best == nil || i.score(assumedCost) < best.score(assumedCost) {
			best = i
		}
	}
	return best
}

// assumedCost is the service time assumed when instances are compared.
const assumedCost = 2 * time.Millisecond

// staleness returns how old the data for an organisation may be.
func (p *Pool) staleness(organisation string) time.Duration {
	if profile, ok := p.Configuration.Index().Profile(organisation); ok {
		return profile.Effective.Staleness
	}
	return openStaleness
}

// openStaleness is how old the data for callers of open routes may be.
const openStaleness = 5 * time.Second

// maxGapWaiters bounds the requests that wait for an instance to serve them.
const maxGapWaiters = 4096

// await waits for a change of the pool. The lock is held, and released while waiting.
func (p *Pool) await(ctx context.Context, w *Work, now, started, deadline time.Time) error {
	if !now.Before(deadline) || p.waiting >= maxGapWaiters {
		p.record(now, "refusal", "no instance may serve the request", p.tracker.Term())
		return coder.New(coder.PrimaryUnavailable, "no instance of "+p.settings.Name+" may serve the request").After(retrySoon)
	}
	until := deadline
	if patience := started.Add(p.settings.ReplicaWait); w.ask.ReadOnly && now.Before(patience) && patience.Before(until) {
		until = patience
	}
	p.waiting++
	changed := p.changed
	p.mu.Unlock()
	timer := time.NewTimer(until.Sub(now))
	defer timer.Stop()
	var err error
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
		err = coder.New(coder.Draining, "the request was given up")
	}
	p.mu.Lock()
	p.waiting--
	return err
}

// enter waits for a slot at the chosen instance. The lock is held, and released on return.
func (p *Pool) enter(ctx context.Context, w *Work, now, deadline time.Time) error {
	item, err := w.instance.enter(now, w.ask.Organisation, deadline)
	if err != nil {
		p.Recorder.Record(explainer.Event{At: now, Kind: "refusal", Subject: w.ask.Organisation, Reason: err.Error(), Epoch: p.epoch})
		p.mu.Unlock()
		return err
	}
	p.working++
	if item == nil {
		w.began = now
		w.conn = w.instance.connection(now, w)
		p.mu.Unlock()
		return nil
	}
	p.mu.Unlock()
	return p.wait(ctx, w, item)
}

// errMoved means that another instance must serve a request.
var errMoved = errors.New("another instance must serve the request")

// wait waits until the queue grants or refuses a request.
func (p *Pool) wait(ctx context.Context, w *Work, item *scheduler.Item) error {
	granted := false
	select {
	case granted = <-item.Granted():
	case <-ctx.Done():
		granted = p.withdraw(w, item)
		if granted {
			p.forgo(w)
			granted = false
		}
	}
	if granted {
		return nil
	}
	p.mu.Lock()
	p.working--
	lost := p.state != Owning
	p.mu.Unlock()
	if lost {
		return p.unavailable()
	}
	if item.Moved() {
		return errMoved
	}
	return coder.New(coder.QueueTimeout, "no slot was free before the deadline").After(retrySoon)
}

// withdraw takes a request out of the queue and reports whether it had been granted meanwhile.
func (p *Pool) withdraw(w *Work, item *scheduler.Item) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if w.instance.queue.Remove(item) {
		return false
	}
	return <-item.Granted()
}
