package pooler

import (
	"context"
	"time"

	"github.com/marigoldgauge/marigoldgauge/allocator"
	"github.com/marigoldgauge/marigoldgauge/ranker"
)

// RateOwnerGroup returns the home group of an organisation: the group whose pool
// owner grants the fractions of the organisation's rate.
func RateOwnerGroup(organisation string, groups []string) string {
	return ranker.First("rate/"+organisation, groups)
}

// runShareExchange exchanges fractions of rates with the rate owners at every
// shareInterval.
func (p *Pool) runShareExchange(ctx context.Context) error {
	ticker := time.NewTicker(shareInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
		for homeGroup, requests := range p.shareRequests(p.clock.Now()) {
			bounded, cancel := context.WithTimeout(ctx, shareInterval)
			replies, err := p.Peers.RequestShares(bounded, homeGroup, requests)
			cancel()
			if err == nil {
				p.applyShares(p.clock.Now(), replies)
			}
		}
	}
}

// shareRequests returns the next share requests by home group.
func (p *Pool) shareRequests(now time.Time) map[string][]ShareRequest {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := map[string][]ShareRequest{}
	for name, b := range p.budgets {
		if b.consumer == nil {
			continue
		}
		homeGroup := RateOwnerGroup(name, b.groups)
		out[homeGroup] = append(out[homeGroup], ShareRequest{Organisation: name, Request: b.consumer.NewRequest(now, b.demand(now))})
		b.update(now, b.limit)
	}
	return out
}

// applyShares applies the replies of a rate owner.
func (p *Pool) applyShares(now time.Time, replies []ShareReply) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range replies {
		if b := p.budgets[r.Organisation]; b != nil && b.consumer != nil {
			b.consumer.HandleReply(now, r.Reply)
			b.update(now, b.limit)
		}
	}
}

// GrantShares handles share requests as the rate owner of the organisations whose home
// group is this one; ok is false if this VM does not own the pool.
func (p *Pool) GrantShares(requests []ShareRequest) (replies []ShareReply, ok bool) {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.state != Owning {
		return nil, false
	}
	for _, r := range requests {
		o := p.rateOwners[r.Organisation]
		if o == nil {
			o = allocator.NewRateOwner(p.epoch)
			p.rateOwners[r.Organisation] = o
		}
		if reply, ok := o.Handle(now, r.Request); ok {
			replies = append(replies, ShareReply{Organisation: r.Organisation, Reply: reply})
		}
	}
	return replies, true
}
