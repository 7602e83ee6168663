package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	// leadTime is the time from the start of the machines until clients come.
	leadTime = 10 * time.Second
	// noteCount is the number of notes that each client writes.
	noteCount = 5
)

// sentNotes holds the statements that clients sent, by id, and what is wrong with those that the
// instances ran.
type sentNotes struct {
	record *record
	mu     sync.Mutex
	texts  map[string]string
	broken []string
}

// playNotes writes notes through every machine and checks that the instances run the statements
// that were sent and no others (rule UNASKED). The disruption is a note with a line feed in it:
// a line of the wire ends at CR LF only.
func playNotes(r *record, dir string, trouble bool) error {
	zones := []string{"praha-a", "brno-a", "ostrava-a"}
	p, err := newPlatform(r, zones, 6*time.Millisecond, "orders-1")
	if err != nil {
		return err
	}
	defer p.stop()
	sent := &sentNotes{record: r, texts: map[string]string{}}
	p.databases[0].onRun, p.databases[0].synchronous = sent.noteRun, true
	p.configure(3, "key-a", []route{
		{database: "db1", kind: "primary", service: "orders-1", timeout: 800 * time.Millisecond, target: 300 * time.Millisecond, priority: 1},
	})
	var vms []*vm
	for n, zone := range zones {
		v := p.newVM(n+1, "edge-"+zone+"-1", zone, dir)
		vms = append(vms, v)
		defer v.kill()
		if err := v.start(zones); err != nil {
			return err
		}
	}
	time.Sleep(leadTime)
	for n, v := range vms {
		if !v.ready() {
			return fmt.Errorf("%s is not ready", v.name)
		}
		if err := sent.write(v, n, trouble); err != nil {
			return err
		}
	}
	// Statements that are still under way reach their instances.
	time.Sleep(time.Second)
	return sent.check()
}

// write writes notes through a machine, each in a session of its own.
func (s *sentNotes) write(v *vm, client int, trouble bool) error {
	for n := range noteCount {
		item := fmt.Sprintf("note%d%d", client, n)
		texts := []string{"deliver to gate 4, call first"}
		if trouble {
			texts = []string{
				// A note of two lines.
				"deliver to gate 4\ncall first",
				// A note whose second line looks like a statement.
				fmt.Sprintf("deliver to gate 4\nQUERY f0%d%d PUT price 0", client, n),
			}
		}
		for i, data := range texts {
			session, err := openSession(v, "db1", "key-a")
			if err != nil {
				return err
			}
			id := fmt.Sprintf("a%d%d%d", client, n, i)
			text := "PUT " + item + " " + data
			s.mu.Lock()
			s.texts[id] = text
			s.mu.Unlock()
			s.record.add("client of %s: sends QUERY %s %q", v.name, id, text)
			answer := session.query(id, text)
			s.record.add("client of %s: %s is answered %s", v.name, id, answer)
			if !trouble && answer != "done" {
				return fmt.Errorf("%s was answered %s", id, answer)
			}
			// Sound clients leave the session in peace for a moment.
			time.Sleep(100 * time.Millisecond)
			session.close()
		}
	}
	return nil
}

// noteRun records a statement that an instance runs.
func (s *sentNotes) noteRun(instance, id, text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.record.add("instance %s: runs %s %q", instance, id, text)
	sent, ok := s.texts[id]
	switch {
	case !ok:
		s.broken = append(s.broken, fmt.Sprintf("%s ran %s %q, which no client sent", instance, id, text))
	case sent != text:
		s.broken = append(s.broken, fmt.Sprintf("%s ran %s with the text %q instead of %q", instance, id, text, sent))
	}
}

// check reports whether an instance ran what no client sent.
func (s *sentNotes) check() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, b := range s.broken {
		s.record.add("UNASKED: %s", b)
	}
	if len(s.broken) > 0 {
		return fmt.Errorf("%w: UNASKED: %d statements, such as: %s", errBroken, len(s.broken), strings.Join(s.broken[:1], ""))
	}
	return nil
}
