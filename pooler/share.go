package pooler

import (
	"context"
	"time"

	"github.com/marigoldgauge/marigoldgauge/allocator"
	"github.com/marigoldgauge/marigoldgauge/ranker"
)

// HomeGroup returns the group whose pool owner also grants the fractions of an
// organisation's rate.
func HomeGroup(organisation string, groups []string) string {
	return ranker.First("rate/"+organisation, groups)
}

// share lends and receives fractions of rates at intervals.
func (p *Pool) share(ctx context.Context) error {
	ticker := time.NewTicker(shareEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
		for home, requests := range p.shareRequests(p.clock.Now()) {
			bounded, cancel := context.WithTimeout(ctx, shareEvery)
			replies, err := p.Peers.Share(bounded, home, requests)
			cancel()
			if err == nil {
				p.receiveShares(p.clock.Now(), replies)
			}
		}
	}
}

// shareRequests returns the next requests by home group.
func (p *Pool) shareRequests(now time.Time) map[string][]ShareRequest {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := map[string][]ShareRequest{}
	for name, a := range p.buckets {
		if a.spender == nil {
			continue
		}
		home := HomeGroup(name, a.groups)
		out[home] = append(out[home], ShareRequest{Organisation: name, Request: a.spender.NewRequest(now, a.demand(now))})
		a.refresh(now, a.limit)
	}
	return out
}

// receiveShares takes the answers of a rate owner.
func (p *Pool) receiveShares(now time.Time, replies []ShareReply) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range replies {
		if a := p.buckets[r.Organisation]; a != nil && a.spender != nil {
			a.spender.HandleReply(now, r.Reply)
			a.refresh(now, a.limit)
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
		o := p.owners[r.Organisation]
		if o == nil {
			o = allocator.NewRateOwner(p.epoch)
			p.owners[r.Organisation] = o
		}
		if reply, ok := o.Handle(now, r.Request); ok {
			replies = append(replies, ShareReply{Organisation: r.Organisation, Reply: reply})
		}
	}
	return replies, true
}
