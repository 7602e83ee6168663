package pooler

import (
	"time"

	"github.com/marigoldgauge/marigoldgauge/prober"
	"github.com/marigoldgauge/marigoldgauge/scheduler"
)

// instance holds the connections and the queue of a pool for one instance.
//
// Its fields are guarded by Pool.mu.
type instance struct {
	id         string
	target     prober.Target
	controller prober.Controller
	probeNow   chan struct{}

	queue               *scheduler.Queue
	window              *scheduler.Window
	idleConns           []*conn
	activeConns         map[*conn]*Work
	inUse               int
	running             int
	maxInUse            int
	inUseByOrganisation map[string]int
	rtt                 time.Duration
	served              uint64
}

// newInstance returns an instance without connections.
func newInstance(s Settings, i Instance, dial prober.Dial) *instance {
	t := s.target(i, dial)
	return &instance{
		id:                  i.ID,
		target:              t,
		controller:          prober.New(t),
		probeNow:            make(chan struct{}, 1),
		queue:               scheduler.New(scheduler.Bounds{PerOrganisation: s.MaxQueueLength, Total: 8 * s.MaxQueueLength}),
		window:              scheduler.NewWindow(s.Slots, s.usable()),
		activeConns:         map[*conn]*Work{},
		maxInUse:            s.usable(),
		inUseByOrganisation: map[string]int{},
	}
}

// hasCapacity reports whether another request could start immediately.
func (i *instance) hasCapacity() bool {
	return i.running < i.window.Size() && i.inUse < i.maxInUse
}

// mayConnect reports whether an organisation may take another connection. An
// organisation never holds more than half of the connections, so that its long
// transactions leave some for others.
func (i *instance) mayConnect(organisation string) bool {
	return i.inUseByOrganisation[organisation] < max(i.maxInUse/2, 1)
}

// reserve reserves a slot and a connection for a request.
func (i *instance) reserve(organisation string) {
	i.running++
	i.inUse++
	i.inUseByOrganisation[organisation]++
}

// startOrEnqueue starts a request, in which case the returned item is nil, or
// enqueues it.
func (i *instance) startOrEnqueue(now time.Time, organisation string, deadline time.Time) (*scheduler.Item, error) {
	if i.queue.Len() == 0 && i.hasCapacity() && i.mayConnect(organisation) {
		i.queue.Start(organisation)
		i.reserve(organisation)
		return nil, nil
	}
	item := scheduler.NewItem(now, organisation, deadline)
	if err := i.queue.Push(now, item, i.window.Size()); err != nil {
		return nil, err
	}
	i.dispatch()
	return item, nil
}

// dispatch grants slots to queued requests while there is capacity.
func (i *instance) dispatch() {
	for i.queue.Len() > 0 && i.hasCapacity() {
		item := i.queue.Pop(i.mayConnect)
		if item == nil {
			return
		}
		i.reserve(item.Organisation)
		item.Resolve(true)
	}
}

// idleConn returns an idle connection, or nil if a new one must be opened.
func (i *instance) idleConn(now time.Time, w *Work) *conn {
	for len(i.idleConns) > 0 {
		c := i.idleConns[len(i.idleConns)-1]
		i.idleConns = i.idleConns[:len(i.idleConns)-1]
		if c.isAlive(now) {
			i.activeConns[c] = w
			return c
		}
		c.close()
	}
	return nil
}

// finishStatement returns the slot of a statement that has completed.
func (i *instance) finishStatement(now time.Time, organisation string, took time.Duration) {
	i.served++
	i.window.Observe(now, took, i.queue.Len() > 0)
	i.queue.Finish(organisation, max(took-i.rtt, 0))
	i.running--
	i.dispatch()
}

// putConn returns a connection; nil returns the reservation of one that was not opened.
func (i *instance) putConn(now time.Time, organisation string, c *conn) {
	i.inUse--
	if i.inUseByOrganisation[organisation]--; i.inUseByOrganisation[organisation] <= 0 {
		delete(i.inUseByOrganisation, organisation)
	}
	if c != nil {
		delete(i.activeConns, c)
		if c.tainted || len(i.idleConns)+i.inUse >= i.maxInUse {
			c.close()
		} else {
			c.idleSince = now
			i.idleConns = append(i.idleConns, c)
		}
	}
	i.dispatch()
}

// estimateLatency estimates the latency of a read at this instance.
func (i *instance) estimateLatency(serviceTime time.Duration) time.Duration {
	ahead := time.Duration(i.running + i.queue.Len())
	return i.rtt + ahead*serviceTime/time.Duration(i.window.Size())
}

// closeAll closes all connections and taints those in use, such as after a failure
// of the instance.
func (i *instance) closeAll() {
	for c := range i.activeConns {
		c.tainted = true
		c.close()
	}
	i.closeIdle()
}

// closeIdle closes the idle connections.
func (i *instance) closeIdle() {
	for _, c := range i.idleConns {
		c.close()
	}
	i.idleConns = nil
}

// requestProbe triggers an immediate status request.
func (i *instance) requestProbe() {
	select {
	case i.probeNow <- struct{}{}:
	default:
	}
}
