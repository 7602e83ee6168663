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
	// maxInlineBytes is the longest batch that is sent before the answer is read.
	maxInlineBytes = 16 << 10
	// maxHeldBytes bounds the answer to a write that is held back until it is confirmed.
	maxHeldBytes = 16 << 20
)

// expectedMessage is one completion that an answer will bring.
type expectedMessage struct {
	// kind is the kind of frame, such as '1' for ParseComplete; zero stands for a whole query or execution.
	kind byte
	// discard drops the frame: the caller did not ask for it.
	discard bool
	// synthetic makes the frame up: the endpoint was not asked for it.
	synthetic bool
	// statement is the statement that becomes prepared.
	statement string
}

// response is the state of one exchange.
type response struct {
	conn       *conn
	sink       Sink
	holdWrites bool
	held       []byte
	out        []byte
	forwarded  bool

	status      byte
	errorCode   string
	committed   bool
	requestedAt time.Time
	// endsWithFlush reports that the answer ends without ReadyForQuery.
	endsWithFlush bool
}

// receive reads the answer to a batch and passes it on.
func (a *response) receive() error {
	a.synthesize()
	for {
		f, err := a.conn.frames.Next()
		if err != nil {
			return err
		}
		done, err := a.handleFrame(f)
		if err != nil {
			return err
		}
		if done || a.flushComplete(f.Kind) {
			return nil
		}
		if len(a.out) >= flushBytes {
			if err := a.flush(); err != nil {
				return err
			}
		}
	}
}

// flushComplete reports whether the answer to a batch that ends with a flush is
// complete: all of it came, or an error after which nothing does.
func (a *response) flushComplete(kind byte) bool {
	if !a.endsWithFlush || (kind != 'E' && a.nextExpected() != nil) {
		return false
	}
	a.status = 'T'
	return true
}

// handleFrame handles one frame and reports whether it was the last one.
func (a *response) handleFrame(f framer.Frame) (bool, error) {
	switch f.Kind {
	case 'D':
		return false, a.forward(f.Raw)
	case 'S':
		a.handleParameterStatus(f.Body())
		return false, nil
	case 'N':
		return false, a.forward(f.Raw)
	case 'A', 'K':
		return false, nil
	case 'E':
		return false, a.handleError(f)
	case 'Z':
		return a.handleReady(f)
	case '1', '2', '3', 't':
		return false, a.handleCompletion(f)
	case 'T', 'n':
		return false, a.handleDescription(f)
	case 'C', 'I', 's':
		return false, a.handleCommandEnd(f)
	default:
		return false, eris.Errorf("unexpected frame %q", f.Kind)
	}
}

// nextExpected returns the completion that the answer has come to, or nil.
func (a *response) nextExpected() *expectedMessage {
	if a.conn.nextExpected == len(a.conn.expected) {
		return nil
	}
	return &a.conn.expected[a.conn.nextExpected]
}

// advance goes on to the next completion.
func (a *response) advance() {
	a.conn.nextExpected++
	a.synthesize()
}

// synthesize makes up the completions for which the endpoint was not asked.
func (a *response) synthesize() {
	for e := a.nextExpected(); e != nil && e.synthetic; e = a.nextExpected() {
		a.appendFrame([]byte{e.kind, 0, 0, 0, 4})
		a.conn.nextExpected++
	}
}

// handleCompletion handles ParseComplete, BindComplete, CloseComplete and ParameterDescription.
func (a *response) handleCompletion(f framer.Frame) error {
	e := a.nextExpected()
	if e == nil || e.kind != f.Kind {
		return eris.Errorf("frame %q out of order", f.Kind)
	}
	if e.statement != "" {
		a.conn.prepared[e.statement] = true
	}
	swallow := e.discard
	var err error
	if !swallow {
		err = a.forward(f.Raw)
	}
	a.advance()
	return err
}

// handleDescription handles RowDescription and NoData, which within a simple query announce rows.
func (a *response) handleDescription(f framer.Frame) error {
	err := a.forward(f.Raw)
	if e := a.nextExpected(); e != nil && e.kind == 'T' {
		a.advance()
	}
	return err
}

// rollbackTag begins the tag of a transaction that was not committed.
var rollbackTag = []byte("ROLLBACK")

// handleCommandEnd handles the end of a statement.
func (a *response) handleCommandEnd(f framer.Frame) error {
	e := a.nextExpected()
	if e != nil && e.discard && e.kind == 'C' {
		a.advance()
		return nil
	}
	a.committed = a.committed || !bytes.HasPrefix(f.Body(), rollbackTag)
	if a.holdWrites && a.held == nil {
		a.held = make([]byte, 0, len(f.Raw))
	}
	err := a.forward(f.Raw)
	if e != nil && e.kind == 0 {
		a.advance()
	}
	return err
}

// handleError handles an error: the rest up to the end of the answer does not come.
func (a *response) handleError(f framer.Frame) error {
	e := pgError(f.Body())
	if a.errorCode == "" {
		a.errorCode = e.Code
	}
	for x := a.nextExpected(); x != nil && x.kind != 'Z'; x = a.nextExpected() {
		a.conn.nextExpected++
	}
	return a.forward(f.Raw)
}

// handleReady handles the end of an answer and reports whether it was the caller's.
func (a *response) handleReady(f framer.Frame) (bool, error) {
	e := a.nextExpected()
	if e == nil || e.kind != 'Z' {
		return false, eris.New("the answer ended early")
	}
	if body := f.Body(); len(body) == 1 {
		a.status = body[0]
	}
	swallow := e.discard
	a.advance()
	if swallow && a.errorCode != "" {
		return false, eris.New("the connection could not be prepared")
	}
	return !swallow, nil
}

// handleParameterStatus takes the position that the instance reports.
func (a *response) handleParameterStatus(body []byte) {
	var s pgproto3.ParameterStatus
	if err := s.Decode(body); err != nil || s.Name != positionParameter {
		return
	}
	if p, ok := tracker.ParsePosition(s.Value); ok {
		a.conn.position = p
	}
}

// forward puts a frame on its way to the caller, or holds it back.
func (a *response) forward(raw []byte) error {
	a.appendFrame(raw)
	if len(a.held) > maxHeldBytes {
		return eris.New("the answer to a write is too long to be held back")
	}
	return nil
}

// appendFrame appends a frame to what is passed on or held back.
func (a *response) appendFrame(raw []byte) {
	if a.held != nil {
		a.held = append(a.held, raw...)
		return
	}
	a.out = append(a.out, raw...)
}

// flush passes on what has gathered.
func (a *response) flush() error {
	if len(a.out) == 0 {
		return nil
	}
	a.forwarded = true
	err := a.sink.Frames(a.out)
	a.out = a.out[:0]
	return err
}

// flushHeld passes on what was held back.
func (a *response) flushHeld() error {
	a.out = append(a.out, a.held...)
	a.held = nil
	return a.flush()
}
