package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// readsInZone is the number of single reads per second that the clients of the zone send,
	// and transactionsInZone that of transactions.
	readsInZone        = 156
	transactionsInZone = 3
	// workTime is the time that an instance takes for a statement.
	workTime = 80 * time.Millisecond
	// rollGap is the time between two stops of a rolling restart, and restartDelay the time from
	// the end of a process until it starts again.
	rollGap      = 1200 * time.Millisecond
	restartDelay = 500 * time.Millisecond
	// rounds is the number of rolling restarts, which begin roundTime apart.
	rounds    = 4
	roundTime = 20 * time.Second
	// failureSlack is FailureSlackMs.
	failureSlack = 200 * time.Millisecond
	// routeTimeout is the timeout of the route.
	routeTimeout = 2 * time.Second
)

// load is the clients of a zone, with all requests that they have sent.
type load struct {
	platform *platform
	balancer *balancer
	mu       sync.Mutex
	number   int
	requests map[string]*request
	refused  int
}

// playDrain restarts two of the three machines of a zone, one after the other, under the load of
// clients that open a session for each operation, and checks that no request is cut (rule LOST).
func playDrain(r *record, dir string, trouble bool) error {
	zones := []string{"ostrava-a"}
	p, err := newPlatform(r, zones, workTime, "orders-1", "orders-2", "orders-3")
	if err != nil {
		return err
	}
	defer p.stop()
	l := &load{platform: p, requests: map[string]*request{}}
	var routes []route
	for n, d := range p.databases {
		d.onRun = l.noteRun
		routes = append(routes, route{database: fmt.Sprintf("db%d", n+1), kind: "bounded_staleness", service: d.name,
			timeout: routeTimeout, target: 600 * time.Millisecond, staleness: 1500 * time.Millisecond, priority: 2})
	}
	p.configure(3, "key-a", routes)
	var vms []*vm
	for n := range 3 {
		v := p.newVM(n+1, fmt.Sprintf("edge-ostrava-a-%d", n+1), "ostrava-a", dir)
		vms = append(vms, v)
		defer v.kill()
		if err := v.start(zones); err != nil {
			return err
		}
	}
	time.Sleep(leadTime)
	for _, v := range vms {
		if !v.ready() {
			return fmt.Errorf("%s is not ready", v.name)
		}
	}
	l.balancer = newBalancer(vms)
	p.group.Go(func() error {
		l.balancer.run(p.done)
		return nil
	})
	stop := make(chan struct{})
	var clients sync.WaitGroup
	l.every(stop, &clients, time.Second/readsInZone, l.readOnce)
	l.every(stop, &clients, time.Second/transactionsInZone, l.runTransaction)
	time.Sleep(4 * time.Second)
	for n := range rounds {
		began := time.Now()
		if trouble {
			if err := roll(zones, vms[n%3], vms[(n+1)%3]); err != nil {
				return err
			}
		}
		time.Sleep(time.Until(began.Add(roundTime)))
	}
	close(stop)
	clients.Wait()
	return l.check()
}

// roll restarts machines one after the other, rollGap apart.
func roll(zones []string, vms ...*vm) error {
	errs := make(chan error, len(vms))
	for n, v := range vms {
		time.Sleep(time.Duration(min(n, 1)) * rollGap)
		v.stoppedAt = append(v.stoppedAt, time.Now())
		go func() {
			v.terminate()
			time.Sleep(restartDelay)
			errs <- v.start(zones)
		}()
	}
	for range vms {
		if err := <-errs; err != nil {
			return err
		}
	}
	return nil
}

// every runs a client at an interval until stop is closed.
func (l *load) every(stop <-chan struct{}, clients *sync.WaitGroup, interval time.Duration, run func(database string)) {
	clients.Go(func() {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
			clients.Go(func() { run(fmt.Sprintf("db%d", n%3+1)) })
		}
	})
}

// readOnce opens a session for a single read.
func (l *load) readOnce(database string) {
	s, err := openSession(l.balancer.choose(), database, "key-a")
	if err != nil {
		l.countRefused()
		return
	}
	defer s.close()
	l.send(s, "FETCH a1")
}

// runTransaction opens a session for a transaction that only reads, with pauses.
func (l *load) runTransaction(database string) {
	s, err := openSession(l.balancer.choose(), database, "key-a")
	if err != nil {
		l.countRefused()
		return
	}
	defer s.close()
	if s.query(l.nextID(), "BEGIN FETCH") != "done" {
		return
	}
	for range transactionLength {
		if l.send(s, "FETCH a1") != "done" {
			break
		}
		time.Sleep(statementPause)
	}
	_ = s.query(l.nextID(), "ROLLBACK")
}

// countRefused counts a session that was not opened.
func (l *load) countRefused() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refused++
}

// nextID returns a new id.
func (l *load) nextID() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.number++
	return fmt.Sprintf("%08x", l.number)
}

// send sends a statement that an instance has to run, and records its answer.
func (l *load) send(s *clientSession, text string) string {
	q := &request{id: l.nextID(), vm: s.vm}
	l.mu.Lock()
	q.sent = time.Now()
	l.requests[q.id] = q
	l.mu.Unlock()
	answer := s.query(q.id, text)
	l.mu.Lock()
	defer l.mu.Unlock()
	q.answer, q.done = answer, time.Now()
	return answer
}

// noteRun records that an instance begins or ends to run a request.
func (l *load) noteRun(id string, ended bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	q := l.requests[id]
	switch {
	case q == nil:
	case ended:
		q.ended = time.Now()
	case q.began.IsZero():
		q.began = time.Now()
	}
}

// check checks all requests and records those that were not answered.
func (l *load) check() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts, broken := map[string]int{}, 0
	for n := range l.number {
		q := l.requests[fmt.Sprintf("%08x", n+1)]
		if q == nil {
			continue
		}
		counts[q.answer]++
		if q.answer == "done" {
			continue
		}
		verdict, isBroken := q.verdict()
		if isBroken {
			broken++
		}
		l.platform.record.add("request %s to %s: sent at %.3f, began to run at %s, ended at %s, %s at %.3f: %s", q.id, q.vm.name, l.seconds(q.sent),
			l.optional(q.began), l.optional(q.ended), q.answer, l.seconds(q.done), verdict)
	}
	l.platform.record.add("requests by answer: %v; sessions not opened: %d", counts, l.refused)
	if broken > 0 {
		return fmt.Errorf("%w: LOST: %d requests were cut by a planned stop", errBroken, broken)
	}
	return nil
}

// seconds returns the seconds from the start of the record to a time.
func (l *load) seconds(t time.Time) float64 { return t.Sub(l.platform.record.start).Seconds() }

// optional returns the seconds to a time, or a dash for none.
func (l *load) optional(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return fmt.Sprintf("%.3f", l.seconds(t))
}

// verdict judges a request that did not succeed by the rule LOST.
func (q *request) verdict() (text string, broken bool) {
	if q.answer != "cut" {
		return "answered", false
	}
	for _, stopped := range q.vm.stoppedAt {
		if q.done.Before(stopped) || q.sent.After(stopped.Add(graceTime+time.Second)) {
			continue
		}
		passedOn := !q.began.IsZero() && q.began.Before(q.done)
		atWork := stopped.Add(graceTime * 5 / 6)
		switch {
		case !passedOn && q.done.Sub(q.sent) <= failureSlack:
			return "not counted: not passed on, and cut within the slack", false
		case q.done.Sub(q.sent) >= routeTimeout:
			return "not counted: the timeout of the route was reached", false
		case passedOn && !q.sent.After(stopped.Add(3*time.Second)) && (q.ended.IsZero() || q.ended.After(atWork)):
			return "not counted: sent early, and its instance was at work in the last sixth of the grace period", false
		case !passedOn:
			return fmt.Sprintf("LOST: cut %s after it was sent, %s after SIGTERM", q.done.Sub(q.sent), q.done.Sub(stopped)), true
		default:
			return fmt.Sprintf("LOST: passed on to an instance, cut %s after SIGTERM", q.done.Sub(stopped)), true
		}
	}
	return "not counted: cut outside of a planned stop", false
}
