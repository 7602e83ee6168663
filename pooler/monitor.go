package pooler

import (
	"context"
	"strconv"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/marigoldgauge/marigoldgauge/promoter"
	"github.com/marigoldgauge/marigoldgauge/recorder"
)

// formatNumber formats a number for an event.
func formatNumber(v float64) string {
	return strconv.FormatFloat(v, 'f', -1, 64)
}

// monitor checks the queues, the pending confirmations and the primary every
// monitorInterval, and runs the resulting actions.
func (p *Pool) monitor(ctx context.Context, group *errgroup.Group) error {
	ticker := time.NewTicker(monitorInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
		for _, a := range p.checkOnce(p.clock.Now()) {
			group.Go(func() error {
				p.runAction(ctx, a)
				return nil
			})
		}
	}
}

// checkOnce expires queued requests and pending confirmations, and returns the
// actions of the promoter.
func (p *Pool) checkOnce(now time.Time) []promoter.Action {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, i := range p.instances {
		for _, item := range i.queue.Expire(now) {
			item.Resolve(false)
		}
		if t := p.tracker.Instance(i.id); t.Responded && now.Sub(t.LastResponse) > deadTimeout {
			i.closeAll()
		}
	}
	p.confirmer.Settle(now, p.tracker)
	if p.state != Owning {
		return nil
	}
	before := p.promoter.Phase()
	actions := p.promoter.Step(now, p.promoterView())
	p.recordPhaseChange(now, before)
	for _, a := range actions {
		p.applyAction(a)
	}
	return actions
}

// recordPhaseChange records an event if the phase of the promoter differs from before.
func (p *Pool) recordPhaseChange(now time.Time, before promoter.Phase) {
	after := p.promoter.Phase()
	if before == after {
		return
	}
	if before == promoter.Observing && after == promoter.Watching && p.primarySilent(now) {
		p.unfitSince = now
	}
	p.recordEvent(now, "promotion-"+after.String(), p.promoter.Reason(), p.tracker.MaxTerm(), recorder.Input{Name: "from", Value: before.String()})
}

// primarySilent reports whether the primary has not responded to this VM for
// SuspectAfter. The caller holds p.mu.
func (p *Pool) primarySilent(now time.Time) bool {
	primary := p.tracker.Primary()
	return primary != nil && now.Sub(primary.LastResponse) >= p.settings.Promotion.SuspectAfter
}

// unfitDuration is how long a VM that could not reach the primary leaves the pool
// to other VMs.
const unfitDuration = 30 * time.Second

// Unfit reports whether this VM was recently unable to reach the primary while
// other VMs could.
func (p *Pool) Unfit(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.unfitSince.IsZero() && now.Sub(p.unfitSince) < unfitDuration
}

// promoterView returns the view of the instances for the promoter. The caller
// holds p.mu.
func (p *Pool) promoterView() promoter.View {
	v := promoter.View{Instances: make([]promoter.InstanceView, 0, len(p.instances))}
	for _, i := range p.instances {
		t := p.tracker.Instance(i.id)
		v.Instances = append(v.Instances, promoter.InstanceView{ID: i.id, Known: t.Responded, LastResponse: t.LastResponse, RoundTrip: i.rtt, Status: t.Status})
	}
	return v
}

// applyAction performs the part of an action that does not block. The caller
// holds p.mu.
func (p *Pool) applyAction(a promoter.Action) {
	switch a.Kind {
	case promoter.PauseWrites:
		p.writesPaused = true
	case promoter.ResumeWrites:
		p.writesPaused = false
		p.wakeAll()
	case promoter.RaiseTerm:
		if primary := p.tracker.Primary(); primary != nil && primary.ID == a.Instance {
			p.instance(a.Instance).closeAll()
		}
	case promoter.AskObservers, promoter.PromoteInstance:
	}
}

// runAction performs the part of an action that calls instances or other VMs.
func (p *Pool) runAction(ctx context.Context, a promoter.Action) {
	i := p.findInstance(a.Instance)
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	requestedAt := p.clock.Now()
	promoterID := p.VM + "/" + p.Incarnation
	switch a.Kind {
	case promoter.AskObservers:
		p.Peers.CheckInstance(ctx, p.settings.Name, a.Instance, func(peer string, reachable bool) {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.promoter.RecordObservation(peer, a.Instance, reachable)
		})
	case promoter.RaiseTerm:
		s, err := i.controller.RaiseTerm(ctx, a.Term, promoterID)
		if err != nil {
			return
		}
		p.recordStatus(i, requestedAt, s)
		p.mu.Lock()
		p.promoter.RecordRaised(p.clock.Now(), a.Instance, a.Term, s)
		p.mu.Unlock()
	case promoter.PromoteInstance:
		s, err := i.controller.Promote(ctx, a.Term, promoterID)
		if err == nil {
			p.recordStatus(i, requestedAt, s)
		}
		p.recordPromotion(a, err)
	case promoter.PauseWrites, promoter.ResumeWrites:
	}
}

// recordPromotion reports the outcome of a promotion to the promoter.
func (p *Pool) recordPromotion(a promoter.Action, err error) {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, next := range p.promoter.RecordPromoted(now, a.Instance, a.Term, err == nil) {
		p.applyAction(next)
	}
	if err == nil {
		p.moveFromOldPrimary(a.Instance)
		p.recordEvent(now, "promotion", a.Reason, a.Term, recorder.Input{Name: "instance", Value: a.Instance})
	}
	for _, i := range p.instances {
		i.requestProbe()
	}
	p.wakeAll()
}

// moveFromOldPrimary redirects the requests queued at other instances, so that
// they reach the new primary, and closes the connections in use at earlier
// primaries. The caller holds p.mu.
func (p *Pool) moveFromOldPrimary(primary string) {
	for _, i := range p.instances {
		if i.id == primary {
			continue
		}
		for _, item := range i.queue.Clear() {
			item.Redirect()
		}
		for c, w := range i.activeConns {
			if w.primary {
				c.tainted = true
				c.close()
			}
		}
	}
}

// findInstance returns an instance by name, or nil. Unlike instance it acquires p.mu.
func (p *Pool) findInstance(id string) *instance {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.instance(id)
}
