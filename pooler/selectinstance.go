package pooler

import (
	"context"
	"errors"
	"time"

	"github.com/marigoldgauge/marigoldgauge/coder"
	"github.com/marigoldgauge/marigoldgauge/recorder"
	"github.com/marigoldgauge/marigoldgauge/scheduler"
	"github.com/marigoldgauge/marigoldgauge/tracker"
)

// selectInstance selects an instance for the work and waits for a slot there. The
// caller holds p.mu, which is released on return.
func (p *Pool) selectInstance(ctx context.Context, w *Work, deadline time.Time) error {
	started := p.clock.Now()
	for {
		now := p.clock.Now()
		if p.state != Owning {
			p.mu.Unlock()
			return p.unavailable()
		}
		if p.tracker.Lost(w.spec.MinPosition) {
			p.mu.Unlock()
			return coder.New(coder.WriteLost, "a change of primary lost the last write of this session at "+w.spec.MinPosition.String())
		}
		if i := p.eligibleInstance(now, w, now.Sub(started) < p.settings.MaxReplicaWait); i != nil {
			w.instance = i
			w.term = p.tracker.Term()
			w.primary = p.tracker.Primary() != nil && p.tracker.Primary().ID == i.id
			err := p.acquireSlot(ctx, w, now, deadline)
			if !errors.Is(err, errMoved) {
				return err
			}
			p.mu.Lock()
			continue
		}
		if err := p.waitForChange(ctx, w, now, started, deadline); err != nil {
			p.mu.Unlock()
			return err
		}
	}
}

// eligibleInstance returns the instance that can serve the work now, or nil. If
// waitForReplica is true, a read whose session position is known does not fall
// back to the primary. The caller holds p.mu.
func (p *Pool) eligibleInstance(now time.Time, w *Work, waitForReplica bool) *instance {
	if !w.spec.ReadOnly {
		return p.writablePrimary(now)
	}
	need := tracker.Requirement{MinPosition: w.spec.MinPosition, MaxStaleness: p.staleness(w.spec.Organisation)}
	if !w.spec.PositionUnknown {
		if i := p.fastest(p.tracker.Replicas(now, need)); i != nil {
			return i
		}
		if waitForReplica {
			return nil
		}
	}
	if c, ok := p.tracker.PrimaryCandidate(now, need); ok && !p.writesPaused {
		return p.instance(c.ID)
	}
	return nil
}

// writablePrimary returns the primary if it may take a write, or nil. The caller
// holds p.mu.
func (p *Pool) writablePrimary(now time.Time) *instance {
	if p.writesPaused {
		return nil
	}
	if primary, ok := p.tracker.WritablePrimary(now, maxConfirmationAge); ok {
		return p.instance(primary.ID)
	}
	return nil
}

// fastest returns the candidate with the lowest estimated latency, or nil. The
// caller holds p.mu.
func (p *Pool) fastest(candidates []tracker.Candidate) *instance {
	var best *instance
	for _, c := range candidates {
		i := p.instance(c.ID)
		if best == nil || i.estimateLatency(assumedServiceTime) < best.estimateLatency(assumedServiceTime) {
			best = i
		}
	}
	return best
}

// assumedServiceTime is the service time assumed in the comparison of instances.
const assumedServiceTime = 2 * time.Millisecond

// staleness returns the maximum staleness of data read by an organisation.
func (p *Pool) staleness(organisation string) time.Duration {
	if profile, ok := p.Configuration.Index().Profile(organisation); ok {
		return profile.Effective.Staleness
	}
	return openRouteStaleness
}

// openRouteStaleness is the maximum staleness of data read by clients of open routes.
const openRouteStaleness = 5 * time.Second

// maxWaiting bounds the requests that wait for an eligible instance.
const maxWaiting = 4096

// waitForChange waits until the pool changes, or until the deadline. A read waits
// at most until MaxReplicaWait has passed since started. The caller holds p.mu, which
// is released during the wait.
func (p *Pool) waitForChange(ctx context.Context, w *Work, now, started, deadline time.Time) error {
	if !now.Before(deadline) || p.waiting >= maxWaiting {
		p.recordEvent(now, "refusal", "no instance may serve the request", p.tracker.Term())
		return coder.New(coder.PrimaryUnavailable, "no instance of "+p.settings.Name+" may serve the request").WithRetryAfter(retryDelay)
	}
	until := deadline
	if replicaDeadline := started.Add(p.settings.MaxReplicaWait); w.spec.ReadOnly && now.Before(replicaDeadline) && replicaDeadline.Before(until) {
		until = replicaDeadline
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

// acquireSlot waits for a slot at the selected instance. The caller holds p.mu,
// which is released on return.
func (p *Pool) acquireSlot(ctx context.Context, w *Work, now, deadline time.Time) error {
	item, err := w.instance.startOrEnqueue(now, w.spec.Organisation, deadline)
	if err != nil {
		p.Recorder.Record(recorder.Event{At: now, Kind: "refusal", Subject: w.spec.Organisation, Reason: err.Error(), Epoch: p.epoch})
		p.mu.Unlock()
		return err
	}
	p.activeWork++
	if item == nil {
		w.startedAt = now
		w.conn = w.instance.idleConn(now, w)
		p.mu.Unlock()
		return nil
	}
	p.mu.Unlock()
	return p.waitForSlot(ctx, w, item)
}

// errMoved reports that another instance must serve a request.
var errMoved = errors.New("another instance must serve the request")

// waitForSlot waits until the queue grants or rejects a request.
func (p *Pool) waitForSlot(ctx context.Context, w *Work, item *scheduler.Item) error {
	granted := false
	select {
	case granted = <-item.Resolved():
	case <-ctx.Done():
		granted = p.dequeue(w, item)
		if granted {
			p.returnSlot(w)
			granted = false
		}
	}
	if granted {
		return nil
	}
	p.mu.Lock()
	p.activeWork--
	notOwner := p.state != Owning
	p.mu.Unlock()
	if notOwner {
		return p.unavailable()
	}
	if item.Redirected() {
		return errMoved
	}
	return coder.New(coder.QueueTimeout, "no slot was free before the deadline").WithRetryAfter(retryDelay)
}

// dequeue removes a request from the queue and reports whether it has been granted
// in the meantime.
func (p *Pool) dequeue(w *Work, item *scheduler.Item) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if w.instance.queue.Remove(item) {
		return false
	}
	return <-item.Resolved()
}
