// Package scheduler shares the slots of an endpoint fairly among organisations.
//
// It uses start-time fair queueing on measured service time: each organisation
// has a virtual time that advances by the service time it has used, and the
// organisation with the earliest virtual time is served first. An organisation
// that sends several times its share only makes its own queue longer.
package scheduler

import (
	"time"

	"github.com/marigoldgauge/marigoldgauge/coder"
)

const (
	// initialCost is the service time assumed before the first measurement.
	initialCost = time.Millisecond
	// costWeight is the weight of a new measurement in the moving average of the service time.
	costWeight = 0.2
	// maxIdleFlows is the number of organisations at which idle ones are evicted.
	maxIdleFlows = 4096
)

// Bounds limits a Queue.
type Bounds struct {
	// PerOrganisation is the maximum number of queued requests of one organisation.
	PerOrganisation int
	// Total is the maximum number of queued requests.
	Total int
}

// Queue orders the requests for the slots of one endpoint.
//
// A Queue is not safe for concurrent use.
type Queue struct {
	bounds      Bounds
	flows       map[string]*flow
	backlog     []*flow
	virtualTime time.Duration
	length      int
	meanCost    time.Duration
}

// New returns an empty Queue.
func New(bounds Bounds) *Queue {
	return &Queue{bounds: bounds, flows: map[string]*flow{}, meanCost: initialCost}
}

// Len returns the number of queued requests.
func (q *Queue) Len() int {
	return q.length
}

// Push enqueues a request. It returns an error when a bound is reached, or when
// the given number of parallel slots cannot meet the deadline of the request.
func (q *Queue) Push(now time.Time, i *Item, slots int) error {
	f := q.flow(i.Organisation)
	if f.len() >= q.bounds.PerOrganisation || q.length >= q.bounds.Total {
		return coder.New(coder.QueueFull, "the queue of the organisation is full").WithRetryAfter(q.estimateWait(f, slots))
	}
	if wait := q.estimateWait(f, slots); now.Add(wait).After(i.Deadline) {
		return coder.New(coder.QueueTimeout, "the deadline cannot be met").WithRetryAfter(wait)
	}
	if f.len() == 0 {
		f.virtualStart = max(f.virtualStart, q.virtualTime)
		q.backlog = append(q.backlog, f)
	}
	f.items = append(f.items, i)
	q.length++
	return nil
}

// estimateWait estimates the queueing time of a new request of a flow.
//
// Every other backlogged flow is served once for each request of this flow.
func (q *Queue) estimateWait(f *flow, slots int) time.Duration {
	if q.length == 0 {
		return 0
	}
	flows := len(q.backlog)
	if f.len() == 0 {
		flows++
	}
	ahead := min((f.len()+1)*flows, q.length)
	return time.Duration(ahead) * q.meanCost / time.Duration(max(slots, 1))
}

// Pop removes and returns the next request, or nil. Organisations for which
// allowed returns false are skipped; a nil allowed permits all.
func (q *Queue) Pop(allowed func(organisation string) bool) *Item {
	best := -1
	for n, f := range q.backlog {
		if allowed != nil && !allowed(f.organisation) {
			continue
		}
		if best < 0 || f.virtualStart < q.backlog[best].virtualStart {
			best = n
		}
	}
	if best < 0 {
		return nil
	}
	f := q.backlog[best]
	i := f.pop()
	q.length--
	q.Start(f.organisation)
	if f.len() == 0 {
		q.backlog = append(q.backlog[:best], q.backlog[best+1:]...)
	}
	return i
}

// Start charges an organisation the expected service time of a request. Pop
// calls it; callers call it for requests that bypass the queue.
func (q *Queue) Start(organisation string) {
	f := q.flow(organisation)
	f.virtualStart = max(f.virtualStart, q.virtualTime)
	q.virtualTime = f.virtualStart
	f.virtualStart += f.meanCost
}

// RevertStart reverts the charge of Start for a request that did not run.
func (q *Queue) RevertStart(organisation string) {
	f := q.flow(organisation)
	f.virtualStart -= f.meanCost
}

// Finish corrects the charge of Start to the measured service time of the request.
func (q *Queue) Finish(organisation string, service time.Duration) {
	f := q.flow(organisation)
	f.virtualStart += service - f.meanCost
	f.meanCost += time.Duration(costWeight * float64(service-f.meanCost))
	q.meanCost += time.Duration(costWeight * float64(service-q.meanCost))
}

// ChargeIdle charges an organisation for time in which it held a connection
// without running a statement.
func (q *Queue) ChargeIdle(organisation string, idle time.Duration) {
	q.flow(organisation).virtualStart += idle
}

// Expire removes and returns the requests whose deadline has passed.
func (q *Queue) Expire(now time.Time) []*Item {
	return q.remove(func(i *Item) bool { return !now.Before(i.Deadline) })
}

// Remove removes a request and reports whether it was still queued.
func (q *Queue) Remove(target *Item) bool {
	return len(q.remove(func(i *Item) bool { return i == target })) == 1
}

// Clear removes and returns all requests.
func (q *Queue) Clear() []*Item {
	return q.remove(func(*Item) bool { return true })
}

// remove removes and returns the requests for which drop returns true.
func (q *Queue) remove(drop func(*Item) bool) []*Item {
	var out []*Item
	backlog := q.backlog[:0]
	for _, f := range q.backlog {
		out = append(out, f.remove(drop)...)
		if f.len() > 0 {
			backlog = append(backlog, f)
		}
	}
	q.backlog = backlog
	q.length -= len(out)
	return out
}

// flow returns the flow of an organisation and creates it if needed.
func (q *Queue) flow(organisation string) *flow {
	f := q.flows[organisation]
	if f == nil {
		q.evictIdle()
		f = &flow{organisation: organisation, virtualStart: q.virtualTime, meanCost: q.meanCost}
		q.flows[organisation] = f
	}
	return f
}

// evictIdle drops the flows of idle organisations whose virtual time is not ahead
// of the queue's, once there are maxIdleFlows flows.
func (q *Queue) evictIdle() {
	if len(q.flows) < maxIdleFlows {
		return
	}
	for name, f := range q.flows {
		if f.len() == 0 && f.virtualStart <= q.virtualTime {
			delete(q.flows, name)
		}
	}
}
