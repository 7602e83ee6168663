package pooler

import (
	"context"
	"time"

	"github.com/marigoldgauge/marigoldgauge/tracker"
)

// runProbes requests the status of an instance at every ProbeInterval and on
// request.
func (p *Pool) runProbes(ctx context.Context, i *instance) error {
	ticker := time.NewTicker(p.settings.ProbeInterval)
	defer ticker.Stop()
	defer i.controller.Close()
	for {
		p.probeOnce(ctx, i)
		select {
		case <-ticker.C:
		case <-i.probeNow:
		case <-ctx.Done():
			return nil
		}
	}
}

// probeOnce requests the status of an instance and records the response.
func (p *Pool) probeOnce(ctx context.Context, i *instance) {
	bounded, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	requestedAt := p.clock.Now()
	s, err := i.controller.Status(bounded)
	if err != nil {
		return
	}
	p.recordStatus(i, requestedAt, s)
}

// recordStatus records the status of an instance. It gives up the ownership if the
// status has a later pool epoch.
func (p *Pool) recordStatus(i *instance, requestedAt time.Time, s tracker.Status) {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	i.updateRTT(now.Sub(requestedAt))
	p.tracker.Observe(i.id, requestedAt, now, s)
	p.confirmer.Settle(now, p.tracker)
	p.notifyWaiters()
	if s.PoolEpoch > p.epoch && (p.state == Owning || p.state == Releasing) {
		p.knownOwner = s.PoolOwner
		p.recordEvent(now, "takeover", "the pool was taken over by "+s.PoolOwner, s.PoolEpoch)
		p.loseOwnership()
	}
}

// updateRTT updates the round-trip time, which falls immediately and rises slowly.
func (i *instance) updateRTT(rtt time.Duration) {
	if i.rtt == 0 || rtt < i.rtt {
		i.rtt = rtt
		return
	}
	i.rtt += (rtt - i.rtt) / 64
}

// loseOwnership ends the ownership of the pool immediately: it rejects queued
// requests and closes all connections. The caller holds p.mu.
func (p *Pool) loseOwnership() {
	for _, i := range p.instances {
		for _, item := range i.queue.Clear() {
			item.Resolve(false)
		}
		i.closeAll()
	}
	p.confirmer.Abandon()
	p.setState(Standby)
	p.stop()
	p.wakeAll()
}

// wakeAll wakes everything that waits for a change of the pool, even if no waiting
// request is counted. The caller holds p.mu.
func (p *Pool) wakeAll() {
	close(p.changed)
	p.changed = make(chan struct{})
}
