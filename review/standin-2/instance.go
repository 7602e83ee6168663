//go:build review2

package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

const (
	// slots and queueLength are those of the instances of the small sites.
	slots       = 3
	queueLength = 24
	maxConns    = 21
	term        = 3
)

// database is a service of a primary and two replicas, which receive and apply each commit at once.
type database struct {
	e *environment
	// work returns how long a statement occupies a slot.
	work func(text string) time.Duration

	mu     sync.Mutex
	number int
	runs   map[string]time.Time
	ended  map[string]time.Time
	nodes  []*instance
}

// instance is one instance of a database.
type instance struct {
	db      *database
	id      string
	primary bool
	slots   chan struct{}

	mu      sync.Mutex
	waiting int
	conns   int
}

// startDatabase starts the instances and registers them in the store.
func (e *environment) startDatabase(work func(text string) time.Duration) (*database, error) {
	d := &database{e: e, work: work, number: 100, runs: map[string]time.Time{}, ended: map[string]time.Time{}}
	for n := range 3 {
		i := &instance{db: d, id: fmt.Sprintf("i-%d", n+1), primary: n == 0, slots: make(chan struct{}, slots)}
		l, err := net.Listen("tcp4", e.address(4, n+1, instancePort))
		if err != nil {
			return nil, err
		}
		e.closers = append(e.closers, func() { _ = l.Close() })
		d.nodes = append(d.nodes, i)
		go i.accept(l)
	}
	done := make(chan struct{})
	e.closers = append(e.closers, func() { close(done) })
	born := time.Now().UnixMilli()
	beat := func(sequence int) {
		for n, i := range d.nodes {
			role := "replica"
			if i.primary {
				role = "primary"
			}
			e.store.Put("servers", i.id, map[string]any{"Service": "mitglied-db", "Address": e.address(4, n+1, instancePort), "Zone": "zh-hoengg", "Version": "v1",
				"Capacity": slots, "Lifecycle": "ready", "WarmupLeftMs": 0, "DbRole": role, "Sequence": sequence, "born": born})
		}
	}
	beat(1)
	go func() {
		for sequence := 2; ; sequence++ {
			select {
			case <-done:
				return
			case <-time.After(1200 * time.Millisecond):
				beat(sequence)
			}
		}
	}()
	return d, nil
}

// position returns the position of the log.
func (d *database) position() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return fmt.Sprintf("%d.%d", term, d.number)
}

// accept accepts connections until the listener is closed.
func (i *instance) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go i.serve(c)
	}
}

// serve serves one connection.
func (i *instance) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReaderSize(c, 64<<10)
	line, err := readLine(r)
	fields := strings.SplitN(line, " ", 4)
	if err != nil || len(fields) < 3 || fields[0] != "STARTUP" {
		return
	}
	if fields[1] != "mitglied-db" || (len(fields) == 4 && fields[3] != i.id) {
		_, _ = fmt.Fprintf(c, "ERROR MOVED %s\r\n", i.id)
		return
	}
	i.mu.Lock()
	full := i.conns >= maxConns
	i.conns++
	i.mu.Unlock()
	defer func() {
		i.mu.Lock()
		i.conns--
		i.mu.Unlock()
	}()
	if full {
		_, _ = fmt.Fprintf(c, "ERROR MAXCONN %s\r\n", i.id)
		return
	}
	_, _ = fmt.Fprintf(c, "READY I %s\r\n", i.db.position())
	state := "I"
	for {
		line, err := readLine(r)
		rest, ok := strings.CutPrefix(line, "QUERY ")
		if err != nil || !ok {
			return
		}
		id, text, _ := strings.Cut(rest, " ")
		answer := i.run(id, text, fields[2], &state)
		if _, err := fmt.Fprintf(c, "%sREADY %s %s\r\n", answer, state, i.db.position()); err != nil {
			return
		}
	}
}

// run runs a statement and returns the lines before READY.
func (i *instance) run(id, text, who string, state *string) string {
	if rest, ok := strings.CutPrefix(text, "WAITLSN "); ok {
		_, text, _ = strings.Cut(rest, " ")
	}
	verb, _, _ := strings.Cut(text, " ")
	switch verb {
	case "STATUS":
		role := "replica"
		if i.primary {
			role = "primary"
		}
		return fmt.Sprintf("DATAROW %s %d %s 0 0 %d %d\r\nCOMPLETE -\r\n", role, term, i.db.position(), len(i.slots), i.conns)
	case "BEGIN":
		if text == "BEGIN" && !i.primary {
			return "ERROR READONLY " + i.id + "\r\n"
		}
		*state = "T"
		return "COMPLETE -\r\n"
	case "ROLLBACK":
		*state = "I"
		return "COMPLETE -\r\n"
	case "SET", "DISCARD", "PAUSE", "RESUME", "STEPDOWN":
		return "COMPLETE -\r\n"
	case "FETCH", "PUT", "COMMIT":
	default:
		return "ERROR PROTOERR " + i.id + "\r\n"
	}
	if verb == "PUT" && !i.primary {
		return "ERROR READONLY " + i.id + "\r\n"
	}
	if !i.enter() {
		return "ERROR BUSY " + i.id + "\r\n"
	}
	d := i.db
	now := time.Now()
	d.mu.Lock()
	d.runs[id] = now
	d.mu.Unlock()
	d.e.log("run begins at %s for %s: %s %s", i.id, who, id, abbreviate(text))
	time.Sleep(d.work(text))
	<-i.slots
	d.mu.Lock()
	d.ended[id] = time.Now()
	if verb == "COMMIT" || (verb == "PUT" && *state == "I") {
		d.number++
	}
	d.mu.Unlock()
	d.e.log("run ends at %s: %s", i.id, id)
	if verb == "COMMIT" {
		*state = "I"
	}
	row := ""
	if verb == "FETCH" {
		row = "DATAROW value\r\n"
	}
	return row + "COMPLETE sig." + i.id + "." + id + "\r\n"
}

// enter takes a slot, after a wait in the queue if there is room; otherwise the instance is busy.
func (i *instance) enter() bool {
	i.mu.Lock()
	if i.waiting >= queueLength {
		i.mu.Unlock()
		return false
	}
	i.waiting++
	i.mu.Unlock()
	i.slots <- struct{}{}
	i.mu.Lock()
	i.waiting--
	i.mu.Unlock()
	return true
}

// ranAt returns when the run of a statement began.
func (d *database) ranAt(id string) (time.Time, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	at, ok := d.runs[id]
	return at, ok
}

// readLine reads a message without its line ending.
func readLine(r *bufio.Reader) (string, error) {
	var b strings.Builder
	for {
		part, err := r.ReadString('\n')
		b.WriteString(part)
		if err != nil {
			return "", err
		}
		if line, ok := strings.CutSuffix(b.String(), "\r\n"); ok {
			return line, nil
		}
	}
}

// abbreviate shortens a text for the record.
func abbreviate(text string) string {
	if len(text) > 60 {
		return fmt.Sprintf("%s... (%d bytes)", text[:60], len(text))
	}
	return text
}
