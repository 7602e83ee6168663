package pooler

import (
	"context"
	"time"

	"github.com/marigoldgauge/marigoldgauge/allotter"
	"github.com/marigoldgauge/marigoldgauge/placer"
)

// RateOwnerGroup returns the group whose pool owner also grants the fractions of an
// organisation's rate.
func RateOwnerGroup(organisation string, groups []string) string {
	return placer.First("rate/"+organisation, groups)
}

// runShareExchange lends and receives fractions of rates at intervals.
func (p *Pool) runShareExchange(ctx context.Context) error {
	ticker := time.NewTicker(shareInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
		for home, requests := range p.shareRequests(p.clock.Now()) {
			bounded, cancel := context.WithTimeout(ctx, shareInterval)
			replies, err := p.Peers.Share(bounded, home, requests)
			cancel()
			if err == nil {
				p.applyShares(p.clock.Now(), replies)
			}
		}
	}
}

// shareRequests returns the next requests by home group.
func (p *Pool) shareRequests(now time.Time) map[string][]ShareRequest {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := map[string][]ShareRequest{}
	for name, a := range p.budgets {
		if a.consumer == nil {
			continue
		}
		home := RateOwnerGroup(name, a.groups)
		out[home] = append(out[home], ShareRequest{Organisation: name, Request: a.consumer.Request(now, a.demand(now))})
		a.update(now, a.limit)
	}
	return out
}

// applyShares takes the answers of a rate owner.
func (p *Pool) applyShares(now time.Time, replies []ShareReply) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range replies {
		if a := p.budgets[r.Organisation]; a != nil && a.consumer != nil {
			a.consumer.Receive(now, r.Reply)
			a.update(now, a.limit)
		}
	}
}

// Grant answers requests as the rate owner of the organisations whose home is
// this group; ok is false when this VM does not own the pool.
func (p *Pool) Grant(requests []ShareRequest) (replies []ShareReply, ok bool) {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.state != Owning {
		return nil, false
	}
	for _, r := range requests {
		o := p.rateOwners[r.Organisation]
		if o == nil {
			o = allotter.NewOwner(p.epoch)
			p.rateOwners[r.Organisation] = o
		}
		if reply, ok := o.Handle(now, r.Request); ok {
			replies = append(replies, ShareReply{Organisation: r.Organisation, Reply: reply})
		}
	}
	return replies, true
}
