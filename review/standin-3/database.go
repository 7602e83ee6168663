package main

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The figures of the small deployment: its pages state them for each site.
const (
	maxConnections = 21
	slots          = 3
	workTime       = 8 * time.Millisecond
	replicaLag     = 60 * time.Millisecond
	linkDelay      = time.Millisecond
	promoteTime    = time.Second
	statusTime     = 500 * time.Microsecond
)

// commit is a commit in the log of an instance.
type commit struct {
	term, number uint64
	item, data   string
}

// run is a statement that an instance ran.
type run struct {
	id, instance, tenant, text string
	at                         time.Time
	// log is the log that the statement ran on, and written the commit that it made.
	log     []commit
	written *commit
}

// service is a stand-in of a database service: a primary and its replicas.
type service struct {
	name   string
	record *record
	store  *store

	mu        sync.Mutex
	instances []*instance
	runs      map[string]run
	sequence  int
}

// instance is an instance of a service. The lock of the service guards its fields.
type instance struct {
	service *service
	id      string
	address string
	zone    string
	born    int64

	primary  bool
	draining bool
	term     uint64
	paused   uint64
	log      []commit
	// applied is the number of commits of the log that reads see.
	applied int
	conns   int
	slots   chan struct{}
}

// register writes the entry of an instance. The caller must not hold the lock.
func (i *instance) register() {
	s := i.service
	s.mu.Lock()
	lifecycle, role := "ready", "replica"
	if i.draining {
		lifecycle = "draining"
	}
	if i.primary {
		role = "primary"
	}
	s.mu.Unlock()
	s.store.put("servers", i.id, map[string]any{
		"Service": s.name, "Address": i.address, "Zone": i.zone, "Version": "v1", "Capacity": slots, "Lifecycle": lifecycle,
		"WarmupLeftMs": 0, "DbRole": role, "Sequence": 1, "born": i.born,
	})
}

// serve serves the connections of an instance.
func (i *instance) serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go i.serveConn(c)
	}
}

// serveConn serves one connection.
func (i *instance) serveConn(c net.Conn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReaderSize(c, 1<<16)
	line, err := readLine(r)
	if err != nil {
		return
	}
	f := strings.Split(line, " ")
	s := i.service
	if len(f) < 3 || f[0] != "STARTUP" || f[1] != s.name || (len(f) > 3 && f[3] != i.id) {
		_, _ = fmt.Fprintf(c, "ERROR MOVED %s\r\n", i.id)
		return
	}
	s.mu.Lock()
	full := i.conns >= maxConnections
	if !full {
		i.conns++
	}
	position := i.position()
	s.mu.Unlock()
	if full {
		_, _ = fmt.Fprintf(c, "ERROR MAXCONN %s\r\n", i.id)
		return
	}
	defer func() {
		s.mu.Lock()
		i.conns--
		s.mu.Unlock()
	}()
	i.slots <- struct{}{}
	time.Sleep(12 * time.Millisecond)
	<-i.slots
	_, _ = fmt.Fprintf(c, "READY I %s\r\n", position)
	for {
		line, err := readLine(r)
		if err != nil {
			return
		}
		query, ok := strings.CutPrefix(line, "QUERY ")
		if !ok {
			return
		}
		id, text, _ := strings.Cut(query, " ")
		if _, err := c.Write([]byte(i.answer(id, f[2], text))); err != nil {
			return
		}
	}
}

// position returns the position of the commits that reads see. The caller holds the lock.
func (i *instance) position() string {
	if i.applied == 0 {
		return fmt.Sprintf("%d.0", i.term)
	}
	c := i.log[i.applied-1]
	return fmt.Sprintf("%d.%d", c.term, c.number)
}

// done returns the answer to a statement that succeeded. The caller holds the lock.
func (i *instance) done(signature string, rows ...string) string {
	out := ""
	for _, row := range rows {
		out += "DATAROW " + row + "\r\n"
	}
	return out + fmt.Sprintf("COMPLETE %s\r\nREADY I %s\r\n", signature, i.position())
}

// fail returns the answer to a statement that failed. The caller holds the lock.
func (i *instance) fail(code string) string {
	return fmt.Sprintf("ERROR %s %s\r\nREADY I %s\r\n", code, i.id, i.position())
}

// answer runs a statement and returns the answer.
func (i *instance) answer(id, tenant, text string) string {
	i.slots <- struct{}{}
	defer func() { <-i.slots }()
	s := i.service
	waits := ""
	if rest, ok := strings.CutPrefix(text, "WAITLSN "); ok {
		waits, text, _ = strings.Cut(rest, " ")
	}
	f := strings.SplitN(text, " ", 3)
	switch f[0] {
	case "FETCH", "PUT":
		time.Sleep(workTime)
	default:
		time.Sleep(statusTime)
		return i.control(f)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if waits != "" && !i.reached(waits) {
		return i.fail("LAGGING")
	}
	if f[0] == "PUT" {
		return i.put(id, tenant, text, f)
	}
	s.sequence++
	signature := fmt.Sprintf("%s.%x", i.id, s.sequence)
	s.runs[signature] = run{id: id, instance: i.id, tenant: tenant, text: text, at: time.Now(), log: i.log[:i.applied:i.applied]}
	s.record.add("%s runs %s %s as %s at %s", i.id, id, text, i.role(), i.position())
	row := "none"
	for n := i.applied - 1; n >= 0; n-- {
		if i.log[n].item == f[1] {
			row = i.log[n].data
			break
		}
	}
	return i.done(signature, row)
}

// role returns the role that the instance sees itself in. The caller holds the lock.
func (i *instance) role() string {
	if i.primary {
		return "primary"
	}
	return "replica"
}

// reached reports whether reads see the commits up to a position. The caller holds the lock.
func (i *instance) reached(position string) bool {
	t, n, _ := strings.Cut(position, ".")
	term, _ := strconv.ParseUint(t, 10, 64)
	number, _ := strconv.ParseUint(n, 10, 64)
	return number == 0 || (uint64(i.applied) >= number && i.log[number-1].term >= term) || (i.applied > 0 && i.log[i.applied-1].term > term)
}

// put commits a write and answers once a replica has received it. The caller holds the lock.
func (i *instance) put(id, tenant, text string, f []string) string {
	s := i.service
	if !i.primary {
		return i.fail("READONLY")
	}
	c := commit{term: i.term, number: uint64(len(i.log)) + 1, item: f[1], data: f[2]}
	i.log = append(i.log, c)
	i.applied = len(i.log)
	s.sequence++
	signature := fmt.Sprintf("%s.%x", i.id, s.sequence)
	s.runs[signature] = run{id: id, instance: i.id, tenant: tenant, text: text, at: time.Now(), written: &c}
	s.record.add("%s runs %s %s as %s: commit %d.%d", i.id, id, text, i.role(), c.term, c.number)
	i.replicate()
	for deadline := time.Now().Add(3 * time.Second); ; {
		for _, o := range s.instances {
			if o != i && uint64(len(o.log)) >= c.number && o.log[c.number-1] == c {
				return i.done(signature)
			}
		}
		if !i.primary || time.Now().After(deadline) {
			return i.fail("TIMEOUT")
		}
		s.mu.Unlock()
		time.Sleep(time.Millisecond)
		s.mu.Lock()
	}
}

// replicate sends the log of a primary to the replicas that receive from it. The caller holds the lock.
func (i *instance) replicate() {
	log, term := i.log[:len(i.log):len(i.log)], i.term
	for _, o := range i.service.instances {
		if o != i {
			time.AfterFunc(linkDelay, func() { o.receive(log, term) })
		}
	}
}

// receive receives the log of the primary of a term; reads see it after the lag.
func (i *instance) receive(log []commit, term uint64) {
	i.service.mu.Lock()
	defer i.service.mu.Unlock()
	if i.primary || i.paused > 0 || term < i.term {
		return
	}
	same := 0
	for same < min(len(i.log), len(log)) && i.log[same] == log[same] {
		same++
	}
	if term == i.term && len(log) <= same {
		return
	}
	i.term, i.log, i.applied = term, log, min(i.applied, same)
	time.AfterFunc(replicaLag, func() {
		i.service.mu.Lock()
		defer i.service.mu.Unlock()
		if i.term == term && len(i.log) >= len(log) {
			i.applied = max(i.applied, len(log))
		}
	})
}

// control runs a statement of the proxy itself.
func (i *instance) control(f []string) string {
	s := i.service
	s.mu.Lock()
	defer s.mu.Unlock()
	term := uint64(0)
	if len(f) > 1 {
		term, _ = strconv.ParseUint(f[1], 10, 64)
	}
	switch f[0] {
	case "STATUS":
	case "PAUSE":
		if !i.primary && term > i.term {
			i.paused = max(i.paused, term)
		}
	case "RESUME":
		i.paused = 0
	case "STEPDOWN":
		if i.primary && i.term < term {
			i.primary = false
			s.record.add("%s steps down for term %d", i.id, term)
			go i.register()
		}
	case "SET", "DISCARD":
		return i.done("-")
	default:
		return i.fail("PROTOERR")
	}
	received := fmt.Sprintf("%d.0", i.term)
	if n := len(i.log); n > 0 {
		received = fmt.Sprintf("%d.%d", i.log[n-1].term, i.log[n-1].number)
	}
	return i.done("-", fmt.Sprintf("%s %d %s %d %d %d %d", i.role(), i.term, received, i.paused, replicaLag.Milliseconds(), len(i.slots), i.conns))
}

// promote makes an instance the primary of the next term some time later, as the platform does.
func (s *service) promote(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, i := range s.instances {
		if i.id != id {
			continue
		}
		if !i.primary {
			time.AfterFunc(promoteTime, func() { s.lead(i) })
		}
		return true
	}
	return false
}

// lead makes an instance the primary of the next term.
func (s *service) lead(i *instance) {
	s.mu.Lock()
	if !i.primary {
		for _, o := range s.instances {
			i.term = max(i.term, o.term)
			o.paused = 0
			if o.primary {
				time.AfterFunc(time.Second, o.demote)
			}
		}
		i.term++
		i.primary, i.applied = true, len(i.log)
		s.record.add("%s leads term %d of %s", i.id, i.term, s.name)
		i.replicate()
	}
	s.mu.Unlock()
	i.register()
}

// demote makes a replaced primary a replica that has heard of its successor.
func (i *instance) demote() {
	s := i.service
	s.mu.Lock()
	i.primary = false
	for _, o := range s.instances {
		if o.primary {
			o.replicate()
		}
	}
	s.mu.Unlock()
	i.register()
}

// leader returns the primary of the latest term.
func (s *service) leader() *instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	var best *instance
	for _, i := range s.instances {
		if i.primary && (best == nil || i.term > best.term) {
			best = i
		}
	}
	return best
}

// drain announces that an instance is about to leave.
func (i *instance) drain() {
	i.service.mu.Lock()
	i.draining = true
	i.service.mu.Unlock()
	i.register()
}

// readLine reads a line that ends with CR LF.
func readLine(r *bufio.Reader) (string, error) {
	line, err := r.ReadString('\n')
	return strings.TrimSuffix(line, "\r\n"), err
}
