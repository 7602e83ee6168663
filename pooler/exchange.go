package pooler

import (
	"bytes"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/marigoldgauge/marigoldgauge/framer"
	"github.com/marigoldgauge/marigoldgauge/tracker"
)

const (
	// flushBytes is the amount of output that is passed on at once.
	flushBytes = 16 << 10
	// inlineBytes is the longest batch that is sent before the answer is read.
	inlineBytes = 16 << 10
	// holdBytes bounds the answer to a write that is held back until it is confirmed.
	holdBytes = 16 << 20
)

// expectation is one completion that an answer will bring.
type expectation struct {
	// kind is the kind of frame, such as '1' for ParseComplete; zero stands for a whole query or execution.
	kind byte
	// swallow drops the frame: the caller did not ask for it.
	swallow bool
	// synthetic makes the frame up: the endpoint was not asked for it.
	synthetic bool
	// statement is the statement that becomes prepared.
	statement string
}

// answer is the state of one exchange.
type answer struct {
	conn   *conn
	sink   Sink
	hold   bool
	held   []byte
	out    []byte
	passed bool

	status    byte
	failure   string
	committed bool
	asked     time.Time
	// flushes reports that the answer ends without ReadyForQuery.
	flushes bool
}

// send writes a batch, preceded by what the connection needs.
func (c *conn) send(organisation string, b *Batch) (*errgroup.Group, error) {
	c.out = c.out[:0]
	c.expected = c.expected[:0]
	c.at = 0
	if organisation != c.organisation {
		c.setOrganisation(organisation)
	}
	c.makeRoom(len(b.Steps))
	for i := range b.Steps {
		if err := c.add(&b.Steps[i], b); err != nil {
			return nil, err
		}
	}
	group := &errgroup.Group{}
	if len(c.out) <= inlineBytes {
		_, err := c.net.Write(c.out)
		return group, err
	}
	group.Go(func() error {
		_, err := c.net.Write(c.out)
		return err
	})
	return group, nil
}

// setOrganisation tells the endpoint for which organisation the next statements run.
func (c *conn) setOrganisation(organisation string) {
	q := &pgproto3.Query{String: "set marigoldgauge.organisation = " + quote(organisation)}
	c.out = encode(c.out, q)
	c.expected = append(c.expected, expectation{kind: 'C', swallow: true}, expectation{kind: 'Z', swallow: true})
	c.organisation = organisation
}

// quote writes a text constant.
func quote(s string) string {
	out := []byte{'\''}
	for i := range len(s) {
		if s[i] == '\'' {
			out = append(out, '\'')
		}
		out = append(out, s[i])
	}
	return string(append(out, '\''))
}

// encode appends a message; messages built here always encode.
func encode(out []byte, m pgproto3.FrontendMessage) []byte {
	out, err := m.Encode(out)
	if err != nil {
		panic(err)
	}
	return out
}

// makeRoom closes all prepared statements when a batch could exceed the limit.
func (c *conn) makeRoom(steps int) {
	if len(c.prepared)+steps <= preparedLimit {
		return
	}
	for name := range c.prepared {
		c.out = encode(c.out, &pgproto3.Close{ObjectType: 'S', Name: name})
		c.expected = append(c.expected, expectation{kind: '3', swallow: true})
	}
	c.out = encode(c.out, &pgproto3.Sync{})
	c.expected = append(c.expected, expectation{kind: 'Z', swallow: true})
	clear(c.prepared)
}

// add sends one step.
func (c *conn) add(s *Step, b *Batch) error {
	switch s.Kind {
	case Parse:
		if c.prepared[s.Statement] {
			c.expected = append(c.expected, expectation{kind: '1', synthetic: true})
			return nil
		}
		c.expected = append(c.expected, expectation{kind: '1', statement: s.Statement})
	case Bind, DescribeStatement:
		if err := c.prepare(s.Statement, b); err != nil {
			return err
		}
		if s.Kind == Bind {
			c.expected = append(c.expected, expectation{kind: '2'})
		} else {
			c.expected = append(c.expected, expectation{kind: 't'}, expectation{kind: 'T'})
		}
	case DescribePortal:
		c.expected = append(c.expected, expectation{kind: 'T'})
	case CloseStatement:
		c.expected = append(c.expected, expectation{kind: '3', synthetic: true})
		return nil
	case ClosePortal:
		c.expected = append(c.expected, expectation{kind: '3'})
	case Execute:
		c.expected = append(c.expected, expectation{})
	case Flush:
	case Query, Sync:
		c.expected = append(c.expected, expectation{kind: 'Z'})
	}
	c.out = append(c.out, s.Raw...)
	return nil
}

// prepare sends the definition of a statement that the connection lacks.
func (c *conn) prepare(statement string, b *Batch) error {
	if c.prepared[statement] || c.pending(statement) {
		return nil
	}
	raw := b.definition(statement)
	if raw == nil {
		return eris.Errorf("statement %s has no definition", statement)
	}
	c.out = append(c.out, raw...)
	c.expected = append(c.expected, expectation{kind: '1', swallow: true, statement: statement})
	return nil
}

// pending reports whether the batch at hand prepares a statement already.
func (c *conn) pending(statement string) bool {
	for i := range c.expected {
		if c.expected[i].statement == statement {
			return true
		}
	}
	return false
}

// receive reads the answer to a batch and passes it on.
func (a *answer) receive() error {
	a.synthesize()
	for {
		f, err := a.conn.frames.Next()
		if err != nil {
			return err
		}
		done, err := a.frame(f)
		if err != nil {
			return err
		}
		if done || a.flushed(f.Kind) {
			return nil
		}
		if len(a.out) >= flushBytes {
			if err := a.flush(); err != nil {
				return err
			}
		}
	}
}

// flushed reports whether the answer to a batch that ends with a flush is
// complete: all of it came, or an error after which nothing does.
func (a *answer) flushed(kind byte) bool {
	if !a.flushes || (kind != 'E' && a.next() != nil) {
		return false
	}
	a.status = 'T'
	return true
}

// frame handles one frame and reports whether it was the last one.
func (a *answer) frame(f framer.Frame) (bool, error) {
	switch f.Kind {
	case 'D':
		return false, a.pass(f.Raw)
	case 'S':
		a.parameter(f.Body())
		return false, nil
	case 'N':
		return false, a.pass(f.Raw)
	case 'A', 'K':
		return false, nil
	case 'E':
		return false, a.failed(f)
	case 'Z':
		return a.ready(f)
	case '1', '2', '3', 't':
		return false, a.complete(f)
	case 'T', 'n':
		return false, a.described(f)
	case 'C', 'I', 's':
		return false, a.executed(f)
	default:
		return false, eris.Errorf("unexpected frame %q", f.Kind)
	}
}

// next returns the completion that the answer has come to, or nil.
func (a *answer) next() *expectation {
	if a.conn.at == len(a.conn.expected) {
		return nil
	}
	return &a.conn.expected[a.conn.at]
}

// advance goes on to the next completion.
func (a *answer) advance() {
	a.conn.at++
	a.synthesize()
}

// synthesize makes up the completions for which the endpoint was not asked.
func (a *answer) synthesize() {
	for e := a.next(); e != nil && e.synthetic; e = a.next() {
		a.put([]byte{e.kind, 0, 0, 0, 4})
		a.conn.at++
	}
}

// complete handles ParseComplete, BindComplete, CloseComplete and ParameterDescription.
func (a *answer) complete(f framer.Frame) error {
	e := a.next()
	if e == nil || e.kind != f.Kind {
		return eris.Errorf("frame %q out of order", f.Kind)
	}
	if e.statement != "" {
		a.conn.prepared[e.statement] = true
	}
	swallow := e.swallow
	var err error
	if !swallow {
		err = a.pass(f.Raw)
	}
	a.advance()
	return err
}

// described handles RowDescription and NoData, which within a simple query announce rows.
func (a *answer) described(f framer.Frame) error {
	err := a.pass(f.Raw)
	if e := a.next(); e != nil && e.kind == 'T' {
		a.advance()
	}
	return err
}

// rollbackTag begins the tag of a transaction that was not committed.
var rollbackTag = []byte("ROLLBACK")

// executed handles the end of a statement.
func (a *answer) executed(f framer.Frame) error {
	e := a.next()
	if e != nil && e.swallow && e.kind == 'C' {
		a.advance()
		return nil
	}
	a.committed = a.committed || !bytes.HasPrefix(f.Body(), rollbackTag)
	if a.hold && a.held == nil {
		a.held = make([]byte, 0, len(f.Raw))
	}
	err := a.pass(f.Raw)
	if e != nil && e.kind == 0 {
		a.advance()
	}
	return err
}

// failed handles an error: the rest up to the end of the answer does not come.
func (a *answer) failed(f framer.Frame) error {
	e := pgError(f.Body())
	if a.failure == "" {
		a.failure = e.Code
	}
	for x := a.next(); x != nil && x.kind != 'Z'; x = a.next() {
		a.conn.at++
	}
	return a.pass(f.Raw)
}

// ready handles the end of an answer and reports whether it was the caller's.
func (a *answer) ready(f framer.Frame) (bool, error) {
	e := a.next()
	if e == nil || e.kind != 'Z' {
		return false, eris.New("the answer ended early")
	}
	if body := f.Body(); len(body) == 1 {
		a.status = body[0]
	}
	swallow := e.swallow
	a.advance()
	if swallow && a.failure != "" {
		return false, eris.New("the connection could not be prepared")
	}
	return !swallow, nil
}

// parameter takes the position that the instance reports.
func (a *answer) parameter(body []byte) {
	var s pgproto3.ParameterStatus
	if err := s.Decode(body); err != nil || s.Name != positionParameter {
		return
	}
	if p, ok := tracker.ParsePosition(s.Value); ok {
		a.conn.position = p
	}
}

// pass puts a frame on its way to the caller, or holds it back.
func (a *answer) pass(raw []byte) error {
	a.put(raw)
	if len(a.held) > holdBytes {
		return eris.New("the answer to a write is too long to be held back")
	}
	return nil
}

// put appends a frame to what is passed on or held back.
func (a *answer) put(raw []byte) {
	if a.held != nil {
		a.held = append(a.held, raw...)
		return
	}
	a.out = append(a.out, raw...)
}

// flush passes on what has gathered.
func (a *answer) flush() error {
	if len(a.out) == 0 {
		return nil
	}
	a.passed = true
	err := a.sink.Frames(a.out)
	a.out = a.out[:0]
	return err
}

// release passes on what was held back.
func (a *answer) release() error {
	a.out = append(a.out, a.held...)
	a.held = nil
	return a.flush()
}
