package switcher

import (
	"context"
	"slices"

	"github.com/marigoldgauge/marigoldgauge/observer"
)

// stopNewcomers stops the instances that came back after the successor was chosen, before it
// leads: they could acknowledge commits that it lacks.
func (p *stopper) stopNewcomers(ctx context.Context, successor observer.Instance) {
	now := p.s.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopping || now.Sub(p.checkedAt) < newcomerInterval {
		return
	}
	p.checkedAt = now
	known := append(p.stopped(), p.newcomers...)
	if f := p.evidence.Former; f != nil && f.Status != nil {
		known = append(known, f.Instance)
	}
	var list []observer.Instance
	for _, i := range p.s.Observer.Instances(p.group) {
		if i.ID != successor.ID && !slices.ContainsFunc(known, func(k observer.Instance) bool { return k.ID == i.ID && k.Started.Equal(i.Started) }) {
			list = append(list, i)
		}
	}
	if len(list) == 0 {
		return
	}
	p.stopping = true
	p.s.group.Go(func() error {
		reports := p.pause(ctx, list)
		p.mu.Lock()
		defer p.mu.Unlock()
		p.stopping = false
		for _, r := range reports {
			if r.stoppedFor(p.term) {
				p.newcomers = append(p.newcomers, r.Instance)
			}
		}
		return nil
	})
}
