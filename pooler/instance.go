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
	kick       chan struct{}

	queue   *scheduler.Queue
	window  *scheduler.Window
	idle    []*conn
	leased  map[*conn]*Work
	using   int
	running int
	limit   int
	holding map[string]int
	rtt     time.Duration
	served  uint64
}

// newInstance returns an instance without connections.
func newInstance(s Settings, i Instance, dial prober.Dial) *instance {
	t := s.target(i, dial)
	return &instance{
		id:         i.ID,
		target:     t,
		controller: prober.New(t),
		kick:       make(chan struct{}, 1),
		queue:      scheduler.New(scheduler.Bounds{PerOrganisation: s.QueueLength, Total: 8 * s.QueueLength}),
		window:     scheduler.NewWindow(s.Slots, s.usable()),
		leased:     map[*conn]*Work{},
		limit:      s.usable(),
		holding:    map[string]int{},
	}
}

// free reports whether a further request could start at once.
func (i *instance) free() bool {
	return i.running < i.window.Size() && i.using < i.limit
}

// may reports whether an organisation may take a further connection: it never
// holds more than half of them, so that long transactions leave room for others.
func (i *instance) may(organisation string) bool {
	return i.holding[organisation] < max(i.limit/2, 1)
}

// take gives a request its slot and the right to a connection.
func (i *instance) take(organisation string) {
	i.running++
	i.using++
	i.holding[organisation]++
}

// enter starts a request or lets it wait in the queue.
func (i *instance) enter(now time.Time, organisation string, deadline time.Time) (*scheduler.Item, error) {
	if i.queue.Len() == 0 && i.free() && i.may(organisation) {
		i.queue.Start(organisation)
		i.take(organisation)
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
	for i.queue.Len() > 0 && i.free() {
		item := i.queue.Pop(i.may)
		if item == nil {
			return
		}
		i.take(item.Organisation)
		item.Grant(true)
	}
}

// connection returns an idle connection, or nil when one must be opened.
func (i *instance) connection(now time.Time, w *Work) *conn {
	for len(i.idle) > 0 {
		c := i.idle[len(i.idle)-1]
		i.idle = i.idle[:len(i.idle)-1]
		if c.alive(now) {
			i.leased[c] = w
			return c
		}
		c.close()
	}
	return nil
}

// finish takes back a slot after a statement that was answered.
func (i *instance) finish(now time.Time, organisation string, took time.Duration) {
	i.served++
	i.window.Observe(now, took, i.queue.Len() > 0)
	i.queue.Done(organisation, max(took-i.rtt, 0))
	i.running--
	i.dispatch()
}

// put takes back a connection; nil is one that could not be opened.
func (i *instance) put(now time.Time, organisation string, c *conn) {
	i.using--
	if i.holding[organisation]--; i.holding[organisation] <= 0 {
		delete(i.holding, organisation)
	}
	if c != nil {
		delete(i.leased, c)
		if c.tainted || len(i.idle)+i.using >= i.limit {
			c.close()
		} else {
			c.idleSince = now
			i.idle = append(i.idle, c)
		}
	}
	i.dispatch()
}

// score estimates how long a read would take here.
func (i *instance) score(cost time.Duration) time.Duration {
	ahead := time.Duration(i.running + i.queue.Len())
	return i.rtt + ahead*cost/time.Duration(i.window.Size())
}

// drop closes all connections, as after the instance failed.
func (i *instance) drop() {
	for c := range i.leased {
		c.tainted = true
		c.close()
	}
	i.closeIdle()
}

// closeIdle closes the connections that nobody uses.
func (i *instance) closeIdle() {
	for _, c := range i.idle {
		c.close()
	}
	i.idle = nil
}

// poke asks for a status at once.
func (i *instance) poke() {
	select {
	case i.kick <- struct{}{}:
	default:
	}
}
