package pooler

import (
	"context"
	"strconv"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/marigoldgauge/marigoldgauge/explainer"
	"github.com/marigoldgauge/marigoldgauge/promoter"
)

// number writes a number for an event.
func number(v float64) string {
	return strconv.FormatFloat(v, 'f', -1, 64)
}

// decide looks at the queues, the confirmations and the primary at intervals.
func (p *Pool) decide(ctx context.Context, group *errgroup.Group) error {
	ticker := time.NewTicker(decideEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
		for _, a := range p.look(p.clock.Now()) {
			group.Go(func() error {
				p.perform(ctx, a)
				return nil
			})
		}
	}
}

// look expires what waited too long and lets the promoter decide.
func (p *Pool) look(now time.Time) []promoter.Action {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, i := range p.instances {
		for _, item := range i.queue.Expire(now) {
			item.Grant(false)
		}
		if t := p.tracker.Instance(i.id); t.Responded && now.Sub(t.LastResponse) > deadAfter {
			i.drop()
		}
	}
	p.confirms.Settle(now, p.tracker)
	if p.state != Owning {
		return nil
	}
	before := p.promoter.Phase()
	actions := p.promoter.Step(now, p.view())
	p.note(now, before)
	for _, a := range actions {
		p.prepare(a)
	}
	return actions
}

// note leaves an event when the promoter changed its mind.
func (p *Pool) note(now time.Time, before promoter.Phase) {
	after := p.promoter.Phase()
	if before == after {
		return
	}
	if before == promoter.Observing && after == promoter.Watching && p.primarySilent(now) {
		p.unfit = now
	}
	p.record(now, "promotion-"+after.String(), p.promoter.Reason(), p.tracker.MaxTerm(), explainer.Input{Name: "from", Value: before.String()})
}

// primarySilent reports whether the primary does not answer this VM. The lock is held.
func (p *Pool) primarySilent(now time.Time) bool {
	primary := p.tracker.Primary()
	return primary != nil && now.Sub(primary.LastResponse) >= p.settings.Promotion.SuspectAfter
}

// unfitFor is how long a VM that could not reach the primary leaves the pool to others.
const unfitFor = 30 * time.Second

// Unfit reports whether this VM lately could not reach the primary while others could.
func (p *Pool) Unfit(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.unfit.IsZero() && now.Sub(p.unfit) < unfitFor
}

// view returns what the promoter sees. The lock is held.
func (p *Pool) view() promoter.View {
	v := promoter.View{Instances: make([]promoter.InstanceView, 0, len(p.instances))}
	for _, i := range p.instances {
		t := p.tracker.Instance(i.id)
		v.Instances = append(v.Instances, promoter.InstanceView{ID: i.id, Known: t.Responded, LastResponse: t.LastResponse, RoundTrip: i.rtt, Status: t.Status})
	}
	return v
}

// prepare does the part of an action that needs no waiting. The lock is held.
func (p *Pool) prepare(a promoter.Action) {
	switch a.Kind {
	case promoter.PauseWrites:
		p.paused = true
	case promoter.ResumeWrites:
		p.paused = false
		p.wakeAll()
	case promoter.RaiseTerm:
		if primary := p.tracker.Primary(); primary != nil && primary.ID == a.Instance {
			p.instance(a.Instance).drop()
		}
	case promoter.AskObservers, promoter.PromoteInstance:
	}
}

// perform does the part of an action that waits for others.
func (p *Pool) perform(ctx context.Context, a promoter.Action) {
	i := p.byID(a.Instance)
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	asked := p.clock.Now()
	promoterID := p.VM + "/" + p.Incarnation
	switch a.Kind {
	case promoter.AskObservers:
		p.Peers.Observe(ctx, p.settings.Name, a.Instance, func(peer string, reachable bool) {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.promoter.RecordObservation(peer, a.Instance, reachable)
		})
	case promoter.RaiseTerm:
		s, err := i.controller.RaiseTerm(ctx, a.Term, promoterID)
		if err != nil {
			return
		}
		p.observe(i, asked, s)
		p.mu.Lock()
		p.promoter.RecordRaised(p.clock.Now(), a.Instance, a.Term, s)
		p.mu.Unlock()
	case promoter.PromoteInstance:
		s, err := i.controller.Promote(ctx, a.Term, promoterID)
		if err == nil {
			p.observe(i, asked, s)
		}
		p.promoted(a, err)
	case promoter.PauseWrites, promoter.ResumeWrites:
	}
}

// promoted tells the promoter how the last step of a promotion ended.
func (p *Pool) promoted(a promoter.Action, err error) {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, next := range p.promoter.RecordPromoted(now, a.Instance, a.Term, err == nil) {
		p.prepare(next)
	}
	if err == nil {
		p.depose(a.Instance)
		p.record(now, "promotion", a.Reason, a.Term, explainer.Input{Name: "instance", Value: a.Instance})
	}
	for _, i := range p.instances {
		i.poke()
	}
	p.wakeAll()
}

// depose moves what waits for an earlier primary to the new one. The lock is held.
func (p *Pool) depose(primary string) {
	for _, i := range p.instances {
		if i.id == primary {
			continue
		}
		for _, item := range i.queue.Clear() {
			item.Move()
		}
		for c, w := range i.leased {
			if w.primary {
				c.tainted = true
				c.close()
			}
		}
	}
}

// byID returns an instance by name.
func (p *Pool) byID(id string) *instance {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.instance(id)
}
