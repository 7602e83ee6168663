package pooler

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/marigoldgauge/marigoldgauge/recorder"
)

const (
	// takeoverTimeout bounds one request to an instance or to the previous owner
	// during a takeover.
	takeoverTimeout = 700 * time.Millisecond
	// takeoverGrace is the wait for the remaining instances once a majority has responded.
	takeoverGrace = 50 * time.Millisecond
	// handoverInterval is the interval between requests to the previous owner.
	handoverInterval = 50 * time.Millisecond
	// handoverTimeout bounds the time in which the previous owner may finish its work.
	handoverTimeout = 30 * time.Second
)

// TakeOver makes this VM the owner of the pool.
//
// If the previous owner is alive, it is requested to finish its work and release the
// pool. A dead one is fenced by a later epoch at the instances.
func (p *Pool) TakeOver(ctx context.Context) error {
	p.mu.Lock()
	if p.state != Standby {
		p.mu.Unlock()
		return nil
	}
	p.setState(TakingOver)
	p.reset()
	p.mu.Unlock()
	if err := p.performTakeover(ctx); err != nil {
		p.mu.Lock()
		p.setState(Standby)
		p.wakeAll()
		p.mu.Unlock()
		return err
	}
	return nil
}

// performTakeover runs the steps of a takeover in state TakingOver.
func (p *Pool) performTakeover(ctx context.Context) error {
	previous, epoch, err := p.queryInstances(ctx)
	if err != nil {
		return err
	}
	handover, cooperative := p.requestHandover(ctx, previous)
	epoch++
	if !cooperative || handover.Released {
		if err := p.fence(ctx, epoch); err != nil {
			return err
		}
	}
	now := p.clock.Now()
	p.mu.Lock()
	p.epoch = epoch
	p.ownedAt = now
	p.knownOwner = p.VM
	p.setState(Owning)
	p.limitConnections(handover)
	p.startOwner(ctx)
	p.wakeAll()
	p.mu.Unlock()
	p.recordEvent(now, "takeover", "this VM owns the pool", epoch, recorder.Input{Name: "previous", Value: previous})
	if cooperative && !handover.Released {
		return p.awaitRelease(ctx, previous, epoch)
	}
	return nil
}

// queryInstances requests the status of all instances and returns the previous
// owner and its epoch. It fails without a majority of the instances.
func (p *Pool) queryInstances(ctx context.Context) (previous string, epoch uint64, err error) {
	var mu sync.Mutex
	responded := p.forEachInstance(ctx, func(ctx context.Context, i *instance) error {
		requestedAt := p.clock.Now()
		s, err := i.controller.Status(ctx)
		if err != nil {
			return err
		}
		now := p.clock.Now()
		p.mu.Lock()
		i.updateRTT(now.Sub(requestedAt))
		p.tracker.Observe(i.id, requestedAt, now, s)
		p.mu.Unlock()
		mu.Lock()
		defer mu.Unlock()
		if s.PoolEpoch >= epoch {
			previous, epoch = s.PoolOwner, s.PoolEpoch
		}
		return nil
	})
	mu.Lock()
	defer mu.Unlock()
	if responded <= len(p.instances)/2 {
		return "", 0, eris.Errorf("only %d of %d instances of %s responded", responded, len(p.instances), p.settings.Name)
	}
	return previous, epoch, nil
}

// forEachInstance calls f for all instances in parallel and returns how many succeeded.
//
// Once a majority has succeeded, it waits only for takeoverGrace, so that an
// unreachable instance does not delay a takeover.
func (p *Pool) forEachInstance(ctx context.Context, f func(ctx context.Context, i *instance) error) int {
	ctx, cancel := context.WithTimeout(ctx, takeoverTimeout)
	results := make(chan error, len(p.instances))
	var group errgroup.Group
	for _, i := range p.instances {
		group.Go(func() error {
			results <- f(ctx, i)
			return nil
		})
	}
	var rest errgroup.Group
	rest.Go(func() error {
		defer cancel()
		return group.Wait()
	})
	return p.countSuccesses(results)
}

// countSuccesses counts the successes until all results have arrived, or until
// takeoverGrace after a majority has succeeded.
func (p *Pool) countSuccesses(results <-chan error) int {
	succeeded := 0
	var grace <-chan time.Time
	for range p.instances {
		select {
		case err := <-results:
			if err == nil {
				succeeded++
			}
		case <-grace:
			return succeeded
		}
		if grace == nil && succeeded > len(p.instances)/2 {
			timer := time.NewTimer(takeoverGrace)
			defer timer.Stop()
			grace = timer.C
		}
	}
	return succeeded
}

// requestHandover asks the previous owner to release the pool; cooperative is false
// if there is no live one or the request fails.
func (p *Pool) requestHandover(ctx context.Context, previous string) (h HandoverStatus, cooperative bool) {
	if previous == "" || previous == p.VM || !p.Peers.IsAlive(previous) {
		return HandoverStatus{}, false
	}
	bounded, cancel := context.WithTimeout(ctx, takeoverTimeout)
	defer cancel()
	h, err := p.Peers.RequestHandover(bounded, previous, p.settings.Name)
	return h, err == nil
}

// fence fences earlier owners at a majority of the instances.
func (p *Pool) fence(ctx context.Context, epoch uint64) error {
	fenced := p.forEachInstance(ctx, func(ctx context.Context, i *instance) error {
		return i.controller.FenceEpoch(ctx, epoch, p.VM)
	})
	if fenced <= len(p.instances)/2 {
		return eris.Errorf("only %d of %d instances of %s accept pool epoch %d", fenced, len(p.instances), p.settings.Name, epoch)
	}
	return nil
}

// limitConnections reduces the connection limit of each instance by the connections
// that the previous owner still uses. The caller holds p.mu.
func (p *Pool) limitConnections(h HandoverStatus) {
	for _, i := range p.instances {
		i.maxInUse = p.settings.usable()
		for _, u := range h.InUse {
			if u.Instance == i.id {
				i.maxInUse = max(i.maxInUse-u.Connections, 1)
			}
		}
		i.dispatch()
	}
}

// awaitRelease waits up to handoverTimeout until the previous owner has released the
// pool, and then fences it.
func (p *Pool) awaitRelease(ctx context.Context, previous string, epoch uint64) error {
	deadline := p.clock.Now().Add(handoverTimeout)
	for p.clock.Now().Before(deadline) {
		if err := sleep(ctx, handoverInterval); err != nil {
			return err
		}
		h, cooperative := p.requestHandover(ctx, previous)
		if !cooperative || h.Released {
			break
		}
		p.mu.Lock()
		p.limitConnections(h)
		p.mu.Unlock()
	}
	err := p.fence(ctx, epoch)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limitConnections(HandoverStatus{})
	return err
}

// Release releases the pool to another VM and returns what is still in use.
func (p *Pool) Release(claimant string) HandoverStatus {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.state == Owning {
		p.setState(Releasing)
		p.knownOwner = claimant
		p.recordEvent(now, "handover", "released to "+claimant, p.epoch)
		for _, i := range p.instances {
			for _, item := range i.queue.Clear() {
				item.Resolve(false)
			}
			i.closeIdle()
		}
		p.wakeAll()
	}
	h := HandoverStatus{Released: p.activeWork == 0 && p.confirmer.PendingCount() == 0}
	for _, i := range p.instances {
		if i.inUse > 0 {
			h.InUse = append(h.InUse, ConnectionUse{Instance: i.id, Connections: i.inUse})
			h.Released = false
		}
	}
	if h.Released && p.state == Releasing {
		p.setState(Standby)
		p.stop()
	}
	return h
}

// Busy reports whether the VM still owns or is releasing the pool.
func (p *Pool) Busy() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state == Owning || p.state == Releasing
}

// KnownOwner returns the VM that is known to own the pool, or "".
func (p *Pool) KnownOwner() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.knownOwner
}

// CheckInstance reports whether this VM can reach an instance, for the promoter of
// another VM. The returned term is always 0.
func (p *Pool) CheckInstance(ctx context.Context, id string) (reachable bool, term uint64) {
	for _, i := range p.settings.Instances {
		if i.ID != id {
			continue
		}
		conn, err := p.settings.target(i, p.Dial).Connect(ctx, 0, observerTimeout)
		if err != nil {
			return false, 0
		}
		_ = conn.Close(ctx)
		return true, 0
	}
	return false, 0
}

// observerTimeout bounds the connection attempt of an observer.
const observerTimeout = 120 * time.Millisecond
