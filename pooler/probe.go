package pooler

import (
	"context"
	"time"

	"github.com/marigoldgauge/marigoldgauge/tracker"
)

// runProbes asks an instance for its status, at intervals and when poked.
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

// probeOnce asks for the status and takes the answer in.
func (p *Pool) probeOnce(ctx context.Context, i *instance) {
	bounded, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	asked := p.clock.Now()
	s, err := i.controller.Status(bounded)
	if err != nil {
		return
	}
	p.recordStatus(i, asked, s)
}

// recordStatus takes in the status of an instance.
func (p *Pool) recordStatus(i *instance, asked time.Time, s tracker.Status) {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	i.updateRTT(now.Sub(asked))
	p.tracker.Observe(i.id, asked, now, s)
	p.confirmer.Settle(now, p.tracker)
	p.notifyWaiters()
	if s.PoolEpoch > p.epoch && (p.state == Owning || p.state == Releasing) {
		p.knownOwner = s.PoolOwner
		p.recordEvent(now, "takeover", "the pool was taken over by "+s.PoolOwner, s.PoolEpoch)
		p.loseOwnership()
	}
}

// updateRTT follows the round trip time: it falls at once and rises slowly.
func (i *instance) updateRTT(rtt time.Duration) {
	if i.rtt == 0 || rtt < i.rtt {
		i.rtt = rtt
		return
	}
	i.rtt += (rtt - i.rtt) / 64
}

// loseOwnership ends the ownership at once. The lock is held.
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

// wakeAll lets everybody who waits look again, even if nobody is counted. The lock is held.
func (p *Pool) wakeAll() {
	close(p.changed)
	p.changed = make(chan struct{})
}
