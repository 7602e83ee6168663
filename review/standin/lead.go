package main

import (
	"fmt"
	"net/netip"
	"strconv"
	"sync"
	"time"
)

const (
	// writersPerVM is the number of clients of a machine, which write one after the other with
	// writePause between.
	writersPerVM = 8
	writePause   = 10 * time.Millisecond
	// cutTime is how long the primary is partitioned from three of five machines.
	cutTime = 7 * time.Second
	// arrivalMargin is how long after a promotion took effect a write has to arrive at the former
	// primary to count: those that were on their way then don't.
	arrivalMargin = 2 * time.Millisecond
)

// leadWatch records the commits at former primaries.
type leadWatch struct {
	record *record
	mu     sync.Mutex
	// late holds the commits at a former primary after a promotion took effect, by id.
	late map[string]string
	// writes holds the writes of the clients in the order in which they were sent.
	writes []*sentWrite
}

// sentWrite is a write of a client.
type sentWrite struct {
	id, vm, answer string
	sent, answered time.Time
	// ran is what the instances did with it.
	ran []string
}

// playLead cuts the primary of a service whose commits wait for no replica from three of five
// machines, and checks that no write is committed there and acknowledged after its successor has
// taken the lead (rule ONE).
func playLead(r *record, dir string, trouble bool) error {
	zones := []string{"praha-a", "brno-a", "ostrava-a"}
	p, err := newPlatform(r, zones, 6*time.Millisecond, "orders-1")
	if err != nil {
		return err
	}
	defer p.stop()
	d := p.databases[0]
	w := &leadWatch{record: r, late: map[string]string{}}
	d.onCommit = w.noteCommit
	p.configure(3, "key-a", []route{
		{database: "db1", kind: "primary", service: "orders-1", timeout: 800 * time.Millisecond, target: 300 * time.Millisecond, priority: 1},
	})
	var vms []*vm
	for n := range 5 {
		zone := zones[n%len(zones)]
		v := p.newVM(n+1, fmt.Sprintf("edge-%s-%d", zone, n/len(zones)+1), zone, dir)
		vms = append(vms, v)
		defer v.kill()
		if err := v.start(zones); err != nil {
			return err
		}
	}
	time.Sleep(leadTime)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for n, v := range vms {
		if !v.ready() {
			return fmt.Errorf("%s is not ready", v.name)
		}
		for i := range writersPerVM {
			clients.Go(func() { w.write(v, fmt.Sprintf("item%d%d", n, i), stop) })
		}
	}
	time.Sleep(4 * time.Second)
	if trouble {
		var machines []netip.Addr
		for _, v := range vms[:3] {
			machines = append(machines, v.address(0).Addr())
		}
		d.partition(d.leader(), machines...)
		time.Sleep(cutTime)
		d.heal()
	}
	time.Sleep(4 * time.Second)
	close(stop)
	clients.Wait()
	d.mu.Lock()
	promotedAt := d.promotedAt
	d.mu.Unlock()
	return w.check(promotedAt, trouble)
}

// write writes an item again and again, in one session after the other.
func (w *leadWatch) write(v *vm, item string, stop <-chan struct{}) {
	for {
		session, err := openSession(v, "db1", "key-a")
		for err == nil {
			select {
			case <-stop:
				session.close()
				return
			case <-time.After(writePause):
			}
			w.mu.Lock()
			q := &sentWrite{id: fmt.Sprintf("%06x", len(w.writes)), vm: v.name, sent: time.Now()}
			w.writes = append(w.writes, q)
			w.mu.Unlock()
			answer := session.query(q.id, "PUT "+item+" "+q.id)
			w.mu.Lock()
			q.answer, q.answered = answer, time.Now()
			w.mu.Unlock()
			if answer == "cut" || answer == "deadline" {
				session.close()
				break
			}
		}
		select {
		case <-stop:
			return
		case <-time.After(writePause):
		}
	}
}

// noteCommit records a commit at a former primary. The lock of the database is held.
func (w *leadWatch) noteCommit(c committed) {
	d := c.instance.database
	n, err := strconv.ParseInt(c.id, 16, 64)
	if err != nil {
		return
	}
	w.mu.Lock()
	w.writes[n].ran = append(w.writes[n].ran, fmt.Sprintf("%s (term %d) at %.3f", c.instance.id, c.instance.term, time.Since(w.record.start).Seconds()))
	w.mu.Unlock()
	for _, o := range d.instances {
		if !o.primary || o.term <= c.instance.term || !c.arrived.After(d.promotedAt.Add(arrivalMargin)) {
			continue
		}
		w.mu.Lock()
		w.late[c.id] = fmt.Sprintf("write %s from %s arrived at %s (term %d) %s after the promotion of %s to term %d took effect, and was committed there",
			c.id, c.from, c.instance.id, c.instance.term, c.arrived.Sub(d.promotedAt).Round(time.Millisecond), o.id, o.term)
		w.mu.Unlock()
	}
}

// check reports whether a write that was committed at a former primary was acknowledged. It
// records the writes of the second around the promotion.
func (w *leadWatch) check(promotedAt time.Time, trouble bool) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if trouble && promotedAt.IsZero() {
		return fmt.Errorf("the primary was not replaced")
	}
	counts, acknowledged := map[string]int{}, 0
	for _, q := range w.writes {
		counts[q.answer]++
		if around := q.sent.Sub(promotedAt); around.Abs() < time.Second/2 {
			w.record.add("write %s: sent to %s at %.3f, committed at %v, answered %s at %.3f", q.id, q.vm, w.seconds(q.sent), q.ran, q.answer, w.seconds(q.answered))
		}
		if late, ok := w.late[q.id]; ok {
			w.record.add("ONE: %s; the client got %q", late, q.answer)
			if q.answer == "done" {
				acknowledged++
			}
		}
	}
	w.record.add("writes by answer: %v", counts)
	if acknowledged > 0 {
		return fmt.Errorf("%w: ONE: %d writes were committed at the former primary after a promotion took effect, and acknowledged", errBroken, acknowledged)
	}
	return nil
}

// seconds returns the seconds from the start of the record to a time.
func (w *leadWatch) seconds(t time.Time) float64 { return t.Sub(w.record.start).Seconds() }
