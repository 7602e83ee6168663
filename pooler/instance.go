package pooler

import (
	"time"

	"github.com/marigoldgauge/marigoldgauge/prober"
	"github.com/marigoldgauge/marigoldgauge/scheduler"
)

// instance is the part of a pool that belongs to one instance.
//
// Its fields are guarded by the lock of the pool.
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
		queue:               scheduler.New(scheduler.Bounds{PerOrganisation: s.QueueLength, Total: 8 * s.QueueLength}),
		window:              scheduler.NewWindow(s.Slots, s.usable()),
		activeConns:         map[*conn]*Work{},
		maxInUse:            s.usable(),
		inUseByOrganisation: map[string]int{},
	}
}

// hasCapacity reports whether a further request could start at once.
func (i *instance) hasCapacity() bool {
	return i.running < i.window.Size() && i.inUse < i.maxInUse
}

// mayConnect reports whether an organisation may take a further connection: it never
// holds more than half of them, so that long transactions leave room for others.
func (i *instance) mayConnect(organisation string) bool {
	return i.inUseByOrganisation[organisation] < max(i.maxInUse/2, 1)
}

// reserve gives a request its slot and the right to a connection.
func (i *instance) reserve(organisation string) {
	i.running++
	i.inUse++
	i.inUseByOrganisation[organisation]++
}

// startOrEnqueue starts a request or lets it wait in the queue.
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

// dispatch starts the requests that go next.
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

// idleConn returns an idle connection, or nil when one must be opened.
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

// finishStatement takes back a slot after a statement that was answered.
func (i *instance) finishStatement(now time.Time, organisation string, took time.Duration) {
	i.served++
	i.window.Observe(now, took, i.queue.Len() > 0)
	i.queue.Finish(organisation, max(took-i.rtt, 0))
	i.running--
	i.dispatch()
}

// putConn takes back a connection; nil is one that could not be opened.
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

// estimateLatency estimates how long a read would take here.
func (i *instance) estimateLatency(cost time.Duration) time.Duration {
	ahead := time.Duration(i.running + i.queue.Len())
	return i.rtt + ahead*cost/time.Duration(i.window.Size())
}

// closeAll closes all connections, as after the instance failed.
func (i *instance) closeAll() {
	for c := range i.activeConns {
		c.tainted = true
		c.close()
	}
	i.closeIdle()
}

// closeIdle closes the connections that nobody uses.
func (i *instance) closeIdle() {
	for _, c := range i.idleConns {
		c.close()
	}
	i.idleConns = nil
}

// requestProbe asks for a status at once.
func (i *instance) requestProbe() {
	select {
	case i.probeNow <- struct{}{}:
	default:
	}
}
