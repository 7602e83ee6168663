package main

import (
	"bufio"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// instanceSlots is the number of statements that an instance runs at a time.
	instanceSlots = 3
	// maxConnections is the number of connections that an instance accepts.
	maxConnections = 46
	// applyLag is how far replicas are behind.
	applyLag = 8 * time.Millisecond
	// promoteTime is the time from a promotion request until the instance leads.
	promoteTime = 600 * time.Millisecond
	// demoteTime is the time after which a replaced primary notices its successor.
	demoteTime = time.Second
)

// logEntry is a commit in the log of a group.
type logEntry struct {
	term, number uint64
	item, data   string
	received     time.Time
}

// database is a group of instances with one primary.
type database struct {
	name   string
	work   time.Duration
	record *record
	// onRun, if set, receives each statement of a client that begins and ends to run.
	onRun func(id string, ended bool)

	mu        sync.Mutex
	instances []*instance
}

// instance is one instance of a database.
type instance struct {
	database *database
	id       string
	address  netip.AddrPort
	zone     string
	started  time.Time
	slots    chan struct{}

	// The lock of the database guards the following fields.
	primary  bool
	leaving  bool
	term     uint64
	paused   uint64
	log      []logEntry
	conns    int
	signs    uint64
	replaced time.Time
}

// newDatabase returns a database whose first instance is the primary.
func newDatabase(name string, work time.Duration, addresses []netip.AddrPort, zones []string, r *record) *database {
	d := &database{name: name, work: work, record: r}
	for n, a := range addresses {
		d.instances = append(d.instances, &instance{
			database: d, id: fmt.Sprintf("i-%s-%d", name, n+1), address: a, zone: zones[n%len(zones)], started: time.Now(),
			slots: make(chan struct{}, instanceSlots), primary: n == 0, term: 1,
		})
	}
	return d
}

// find returns the instance with an id, or nil.
func (d *database) find(id string) *instance {
	n := slices.IndexFunc(d.instances, func(i *instance) bool { return i.id == id })
	if n < 0 {
		return nil
	}
	return d.instances[n]
}

// leader returns the primary of the latest term.
func (d *database) leader() *instance {
	d.mu.Lock()
	defer d.mu.Unlock()
	var best *instance
	for _, i := range d.instances {
		if i.primary && (best == nil || i.term > best.term) {
			best = i
		}
	}
	return best
}

// setLeaving makes an instance announce that it is about to stop.
func (d *database) setLeaving(i *instance) {
	d.mu.Lock()
	defer d.mu.Unlock()
	i.leaving = true
	d.record.add("instance %s: draining", i.id)
}

// promote makes an instance the primary of the next term, after promoteTime.
func (d *database) promote(i *instance) {
	time.Sleep(promoteTime)
	d.mu.Lock()
	defer d.mu.Unlock()
	if i.primary {
		return
	}
	for _, o := range d.instances {
		i.term = max(i.term, o.term)
	}
	i.term++
	i.primary, i.paused = true, 0
	for _, o := range d.instances {
		if o == i {
			continue
		}
		o.replaced = time.Now().Add(demoteTime)
		if !o.primary {
			o.term, o.paused, o.log = i.term, 0, slices.Clone(i.log)
		}
	}
	d.record.add("instance %s: leads term %d with %d commits", i.id, i.term, len(i.log))
}

// demote ends the lead of a primary that has noticed its successor. The caller holds the lock.
func (i *instance) demote() {
	if !i.primary || i.replaced.IsZero() || time.Now().Before(i.replaced) {
		return
	}
	for _, o := range i.database.instances {
		if o.primary && o.term > i.term {
			i.primary, i.term, i.log = false, o.term, slices.Clone(o.log)
			return
		}
	}
}

// commit adds a commit to the log and sends it to the replicas. It reports whether one of them
// has received it. The caller holds the lock.
func (i *instance) commit(item, data string) bool {
	e := logEntry{term: i.term, number: uint64(len(i.log)) + 1, item: item, data: data, received: time.Now()}
	i.log = append(i.log, e)
	received := false
	for _, o := range i.database.instances {
		if o != i && !o.primary && o.paused == 0 && o.term <= i.term {
			o.term, o.log = i.term, append(slices.Clone(i.log[:len(i.log)-1]), e)
			received = true
		}
	}
	return received
}

// applied returns the commits that the instance has applied. The caller holds the lock.
func (i *instance) applied() []logEntry {
	n := len(i.log)
	for !i.primary && n > 0 && time.Since(i.log[n-1].received) < applyLag {
		n--
	}
	return i.log[:n]
}

// position returns the position of a log. The caller holds the lock.
func (i *instance) position(log []logEntry) string {
	if len(log) == 0 {
		return fmt.Sprintf("%d.0", i.term)
	}
	e := log[len(log)-1]
	return fmt.Sprintf("%d.%d", e.term, e.number)
}

// serve accepts connections until the listener is closed.
func (i *instance) serve(l net.Listener, group *errgroup.Group) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		group.Go(func() error {
			i.serveConn(c)
			return nil
		})
	}
}

// session is a connection to an instance.
type session struct {
	*instance
	conn     net.Conn
	state    string
	plain    bool
	prepared map[string]string
	writes   [][2]string
}

// serveConn serves one connection.
func (i *instance) serveConn(c net.Conn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReaderSize(c, 1<<20)
	line, err := r.ReadString('\n')
	if err != nil {
		return
	}
	f := strings.Fields(line)
	d := i.database
	d.mu.Lock()
	i.conns++
	full := i.conns > maxConnections
	d.mu.Unlock()
	defer func() {
		d.mu.Lock()
		i.conns--
		d.mu.Unlock()
	}()
	switch {
	case len(f) < 3 || f[0] != "STARTUP" || f[1] != d.name || len(f) > 3 && f[3] != i.id:
		_, _ = fmt.Fprintf(c, "ERROR MOVED %s\r\n", i.id)
		return
	case full:
		_, _ = fmt.Fprintf(c, "ERROR MAXCONN %s\r\n", i.id)
		return
	}
	d.mu.Lock()
	at := i.position(i.applied())
	d.mu.Unlock()
	if _, err := fmt.Fprintf(c, "READY I %s\r\n", at); err != nil {
		return
	}
	s := &session{instance: i, conn: c, state: "I", prepared: map[string]string{}}
	for {
		line, err := r.ReadString('\n')
		if err != nil || !strings.HasPrefix(line, "QUERY ") {
			return
		}
		id, text, _ := strings.Cut(strings.TrimRight(line[len("QUERY "):], "\r\n"), " ")
		answer := s.run(id, text)
		if answer == "" {
			return
		}
		if _, err := c.Write([]byte(answer)); err != nil {
			return
		}
	}
}

// run runs one statement and returns its answer; an empty one ends the connection.
func (s *session) run(id, text string) string {
	if rest, ok := strings.CutPrefix(text, "WAITLSN "); ok {
		var at string
		at, text, _ = strings.Cut(rest, " ")
		if !s.hasApplied(at) {
			return s.fail("LAGGING")
		}
	}
	f := strings.Fields(text)
	if f[0] == "EXECUTE" {
		shape, ok := s.prepared[f[1]]
		if !ok {
			return s.fail("NOPREP")
		}
		f = append([]string{shape}, f[2:]...)
	}
	if answer := s.control(f); answer != "" {
		return answer
	}
	s.slots <- struct{}{}
	if id != "-" && s.database.onRun != nil {
		s.database.onRun(id, false)
	}
	time.Sleep(s.database.work)
	<-s.slots
	answer := s.execute(f)
	if id != "-" && s.database.onRun != nil {
		s.database.onRun(id, true)
	}
	return answer
}

// hasApplied reports whether the log holds a position.
func (s *session) hasApplied(at string) bool {
	term, number, _ := strings.Cut(at, ".")
	t, _ := strconv.ParseUint(term, 10, 64)
	n, _ := strconv.ParseUint(number, 10, 64)
	s.database.mu.Lock()
	defer s.database.mu.Unlock()
	log := s.applied()
	return n == 0 || n <= uint64(len(log)) && s.term >= t
}

// control runs a statement that is neither a read nor a write nor a commit.
func (s *session) control(f []string) string {
	d := s.database
	d.mu.Lock()
	s.demote()
	var term uint64
	if len(f) > 1 {
		term, _ = strconv.ParseUint(f[1], 10, 64)
	}
	newest := uint64(0)
	for _, o := range d.instances {
		newest = max(newest, o.term)
	}
	status := true
	switch f[0] {
	case "STATUS":
	case "PAUSE":
		if !s.primary && term > newest {
			s.paused = term
		}
	case "RESUME":
		s.paused = 0
	case "STEPDOWN":
		if s.primary && s.term < term {
			s.primary = false
		}
	default:
		status = false
	}
	role := "replica"
	if s.primary {
		role = "primary"
	}
	row := fmt.Sprintf("DATAROW %s %d %s %d 0 %d %d\r\n", role, s.term, s.position(s.log), s.paused, len(s.slots), s.conns)
	primary := s.primary
	d.mu.Unlock()
	switch {
	case status:
		return row + s.complete("-")
	case f[0] == "SET":
		return s.complete("-")
	case f[0] == "DISCARD":
		s.prepared = map[string]string{}
		return s.complete("-")
	case f[0] == "PREPARE":
		s.prepared[f[1]] = f[2]
		return s.complete("-")
	case f[0] == "BEGIN":
		s.plain = len(f) == 1
		if s.plain && !primary {
			return s.fail("READONLY")
		}
		s.state, s.writes = "T", nil
		return s.complete("-")
	case f[0] == "ROLLBACK":
		s.state, s.writes = "I", nil
		return s.complete("-")
	}
	return ""
}

// execute runs a read, a write or a commit.
func (s *session) execute(f []string) string {
	d := s.database
	d.mu.Lock()
	s.signs++
	signature := fmt.Sprintf("%s.%d", s.id, s.signs)
	ok, row := true, ""
	switch {
	case !s.primary && (f[0] == "PUT" || s.state == "T" && s.plain):
		d.mu.Unlock()
		return s.fail("READONLY")
	case f[0] == "FETCH":
		row = "DATAROW none\r\n"
		log := s.applied()
		for n := len(log) - 1; n >= 0; n-- {
			if log[n].item == f[1] {
				row = "DATAROW " + log[n].data + "\r\n"
				break
			}
		}
	case f[0] == "PUT" && s.state == "T":
		s.writes = append(s.writes, [2]string{f[1], f[2]})
	case f[0] == "PUT":
		ok = s.commit(f[1], f[2])
	case f[0] == "COMMIT":
		for _, w := range s.writes {
			ok = s.commit(w[0], w[1]) && ok
		}
		s.state, s.writes = "I", nil
	}
	d.mu.Unlock()
	if !ok {
		return ""
	}
	return row + s.complete(signature)
}

// complete returns a successful answer.
func (s *session) complete(signature string) string {
	return "COMPLETE " + signature + "\r\n" + s.ready()
}

// fail returns an error answer.
func (s *session) fail(code string) string {
	if s.state == "T" {
		s.state = "E"
	}
	return "ERROR " + code + " " + s.id + "\r\n" + s.ready()
}

// ready returns the last line of an answer.
func (s *session) ready() string {
	s.database.mu.Lock()
	defer s.database.mu.Unlock()
	return "READY " + s.state + " " + s.position(s.applied()) + "\r\n"
}
