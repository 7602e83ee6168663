package pooler

import (
	"bytes"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/rotisserie/eris"

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
