package main

import (
	"fmt"
	"sync"
	"time"
)

// acknowledgement is a commit that a client was told of.
type acknowledgement struct {
	commit
	at time.Time
}

// staleness checks the rule STALE for the reads of one database with a primary route.
type staleness struct {
	w       *world
	service *service

	mu           sync.Mutex
	acknowledged []acknowledgement
	ids          int
	reads, stale int
}

// nextID returns the id of a statement.
func (c *staleness) nextID() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ids++
	return fmt.Sprintf("%016x", c.ids)
}

// operate runs statements in sessions at one VM until done is closed, with a pause between two.
func (c *staleness) operate(v *vm, pause time.Duration, text func(n int) string, done <-chan struct{}) {
	var s *session
	for n := 0; ; n++ {
		select {
		case <-done:
			if s != nil {
				s.close()
			}
			return
		case <-time.After(pause):
		}
		if s == nil {
			var err error
			if s, err = open(v, "db-"+c.service.name, key); err != nil {
				c.w.record.add("client: no session at %s: %v", v.name, err)
				continue
			}
		}
		id, t := c.nextID(), text(n)
		c.w.record.add("client: %s sends %s %s", v.name, id, t)
		sent := time.Now()
		a, err := s.run(id, t, 4*time.Second)
		now := time.Now()
		c.w.record.add("client: %s gets for %s: signature %q, rows %q, error %q, %v", v.name, id, a.signature, a.rows, a.failure, err)
		switch {
		case err != nil:
			s.close()
			s = nil
		case a.failure == "":
			c.check(v, id, a, sent, now)
		}
	}
}

// check judges a statement that succeeded.
func (c *staleness) check(v *vm, id string, a answer, sent, now time.Time) {
	c.service.mu.Lock()
	r := c.service.runs[a.signature]
	c.service.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.written != nil {
		c.acknowledged = append(c.acknowledged, acknowledgement{*r.written, now})
		return
	}
	c.reads++
	for _, k := range c.acknowledged {
		if !k.at.Before(sent) || holds(r.log, k.commit) {
			continue
		}
		c.stale++
		c.w.record.add("STALE: %s, sent to %s, ran at %s on a log of %d commits, which lacks commit %d.%d, acknowledged %s before the read was sent", id, v.name, r.instance, len(r.log), k.term, k.number, sent.Sub(k.at).Round(100*time.Microsecond))
		return
	}
}

// holds reports whether a log holds a commit.
func holds(log []commit, c commit) bool {
	return uint64(len(log)) >= c.number && log[c.number-1] == c
}

// rounds is the number of rounds of runRecordCase, which ends with the first one that breaks the rule.
const rounds = 3

// runRecordCase has two primaries replaced, planned, while the answers to two writes of the store are lost.
func runRecordCase(w *world, trouble bool) (bool, error) {
	if err := w.startServices("huvo11a", "kafi81c", "wuno96b", "dele69a", "gowu98c", "xano55b", "zigo56a"); err != nil {
		return false, err
	}
	w.configure(7)
	if err := w.startVMs(); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second)

	// An earlier replacement, without a disruption, shows which VM has the duty.
	if err := w.replacePlanned(w.services[0]); err != nil {
		return false, err
	}
	for n := range rounds {
		time.Sleep(5 * time.Second)
		isBroken, err := w.playRound(w.services[1+2*n], w.services[2+2*n], trouble)
		if isBroken || err != nil {
			return isBroken, err
		}
	}
	return false, nil
}

// replacePlanned announces that the primary of a service leaves, and waits until another instance leads.
func (w *world) replacePlanned(s *service) error {
	former := s.leader()
	former.drain()
	for deadline := time.Now().Add(15 * time.Second); s.leader() == former || w.lastHolder() == nil; {
		if time.Now().After(deadline) {
			return fmt.Errorf("the primary %s of %s was not replaced", former.id, s.name)
		}
		time.Sleep(20 * time.Millisecond)
	}
	return nil
}

// playRound has the primaries of two services replaced, the second one half a second after the first one.
// Clients write to the second service at the VM that has the duty, and read from it at the others.
func (w *world) playRound(a, b *service, trouble bool) (isBroken bool, err error) {
	holder := w.lastHolder()
	w.record.say("%s has the duty; the primaries %s and, 0.5 s later, %s are to be replaced", holder.name, a.leader().id, b.leader().id)
	c := &staleness{w: w, service: b}
	done := make(chan struct{})
	var clients sync.WaitGroup
	for _, v := range w.vms {
		text, pause := func(int) string { return "FETCH 1a4" }, 100*time.Millisecond
		if v == holder {
			text, pause = func(n int) string { return fmt.Sprintf("PUT 1a4 v%d", n) }, 40*time.Millisecond
		}
		for range 2 {
			clients.Go(func() { c.operate(v, pause, text, done) })
		}
	}
	time.Sleep(2 * time.Second)
	if trouble {
		w.loseTwoAnswers()
	}
	w.store.startCounting()
	a.leader().drain()
	time.Sleep(500 * time.Millisecond)
	err = w.replacePlanned(b)
	time.Sleep(2 * time.Second)
	close(done)
	clients.Wait()
	writes, lost := w.store.counts()
	w.record.say("%d reads, %d commits acknowledged, %d stale reads; the store got %d writes and answered all but %d", c.reads, len(c.acknowledged), c.stale, writes, lost)
	return c.stale > 0, err
}

// loseTwoAnswers has the store lose the answers to the next two writes of the system. The first one is done
// 1.6 s later, the second one 2 s later, if their conditions still hold.
func (w *world) loseTwoAnswers() {
	delays := []time.Duration{1600 * time.Millisecond, 2 * time.Second}
	w.store.mu.Lock()
	defer w.store.mu.Unlock()
	w.store.lose = func(string, string) (loss, bool) {
		if len(delays) == 0 {
			return loss{}, false
		}
		l := loss{late: delays[0]}
		delays = delays[1:]
		return l, true
	}
}
