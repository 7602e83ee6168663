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
	// flushBytes is the amount of buffered output at which it is forwarded to the client.
	flushBytes = 16 << 10
	// maxInlineBytes is the size of the largest batch that is sent in full before the
	// response is read. Larger batches are sent while the response is read.
	maxInlineBytes = 16 << 10
	// maxHeldBytes bounds the response to a write that is held back until the write
	// is confirmed.
	maxHeldBytes = 16 << 20
)

// expectedMessage is one completion that the response must contain.
type expectedMessage struct {
	// kind is the kind of frame, such as '1' for ParseComplete; zero stands for the
	// whole response to an Execute.
	kind byte
	// discard drops the frame because the client did not request it.
	discard bool
	// synthetic generates the frame because it was not requested from the endpoint.
	synthetic bool
	// statement is the name of the statement that the completion reports as prepared.
	statement string
}

// response is the state of the response to one batch.
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
	// endsWithFlush reports that the response ends without ReadyForQuery.
	endsWithFlush bool
}

// receive reads the response to a batch and forwards it.
func (r *response) receive() error {
	r.synthesize()
	for {
		f, err := r.conn.frames.Next()
		if err != nil {
			return err
		}
		done, err := r.handleFrame(f)
		if err != nil {
			return err
		}
		if done || r.flushComplete(f.Kind) {
			return nil
		}
		if len(r.out) >= flushBytes {
			if err := r.flush(); err != nil {
				return err
			}
		}
	}
}

// flushComplete reports whether the response to a batch that ends with a Flush is
// complete: all expected messages have arrived, or an error that ends the response.
func (r *response) flushComplete(kind byte) bool {
	if !r.endsWithFlush || (kind != 'E' && r.nextExpected() != nil) {
		return false
	}
	r.status = 'T'
	return true
}

// handleFrame handles one frame and reports whether it ends the response.
func (r *response) handleFrame(f framer.Frame) (bool, error) {
	switch f.Kind {
	case 'D':
		return false, r.forward(f.Raw)
	case 'S':
		r.handleParameterStatus(f.Body())
		return false, nil
	case 'N':
		return false, r.forward(f.Raw)
	case 'A', 'K':
		return false, nil
	case 'E':
		return false, r.handleError(f)
	case 'Z':
		return r.handleReady(f)
	case '1', '2', '3', 't':
		return false, r.handleCompletion(f)
	case 'T', 'n':
		return false, r.handleDescription(f)
	case 'C', 'I', 's':
		return false, r.handleCommandEnd(f)
	default:
		return false, eris.Errorf("unexpected frame %q", f.Kind)
	}
}

// nextExpected returns the completion that is due next, or nil.
func (r *response) nextExpected() *expectedMessage {
	if r.conn.expectedIndex == len(r.conn.expected) {
		return nil
	}
	return &r.conn.expected[r.conn.expectedIndex]
}

// advance moves on to the next expected completion.
func (r *response) advance() {
	r.conn.expectedIndex++
	r.synthesize()
}

// synthesize generates the completions that were not requested from the endpoint.
func (r *response) synthesize() {
	for e := r.nextExpected(); e != nil && e.synthetic; e = r.nextExpected() {
		r.appendFrame([]byte{e.kind, 0, 0, 0, 4})
		r.conn.expectedIndex++
	}
}

// handleCompletion handles ParseComplete, BindComplete, CloseComplete and ParameterDescription.
func (r *response) handleCompletion(f framer.Frame) error {
	e := r.nextExpected()
	if e == nil || e.kind != f.Kind {
		return eris.Errorf("frame %q out of order", f.Kind)
	}
	if e.statement != "" {
		r.conn.prepared[e.statement] = true
	}
	discard := e.discard
	var err error
	if !discard {
		err = r.forward(f.Raw)
	}
	r.advance()
	return err
}

// handleDescription handles RowDescription and NoData. Within a simple query they
// precede rows and match no expected message.
func (r *response) handleDescription(f framer.Frame) error {
	err := r.forward(f.Raw)
	if e := r.nextExpected(); e != nil && e.kind == 'T' {
		r.advance()
	}
	return err
}

// rollbackTag is the prefix of the command tag of a transaction that was rolled back.
var rollbackTag = []byte("ROLLBACK")

// handleCommandEnd handles CommandComplete, EmptyQueryResponse and PortalSuspended.
func (r *response) handleCommandEnd(f framer.Frame) error {
	e := r.nextExpected()
	if e != nil && e.discard && e.kind == 'C' {
		r.advance()
		return nil
	}
	r.committed = r.committed || !bytes.HasPrefix(f.Body(), rollbackTag)
	if r.holdWrites && r.held == nil {
		r.held = make([]byte, 0, len(f.Raw))
	}
	err := r.forward(f.Raw)
	if e != nil && e.kind == 0 {
		r.advance()
	}
	return err
}

// handleError handles ErrorResponse, after which no other completion arrives
// before ReadyForQuery.
func (r *response) handleError(f framer.Frame) error {
	pgErr := pgError(f.Body())
	if r.errorCode == "" {
		r.errorCode = pgErr.Code
	}
	for e := r.nextExpected(); e != nil && e.kind != 'Z'; e = r.nextExpected() {
		r.conn.expectedIndex++
	}
	return r.forward(f.Raw)
}

// handleReady handles ReadyForQuery and reports whether it ends the response to
// the client's batch.
func (r *response) handleReady(f framer.Frame) (bool, error) {
	e := r.nextExpected()
	if e == nil || e.kind != 'Z' {
		return false, eris.New("the answer ended early")
	}
	if body := f.Body(); len(body) == 1 {
		r.status = body[0]
	}
	discard := e.discard
	r.advance()
	if discard && r.errorCode != "" {
		return false, eris.New("the connection could not be prepared")
	}
	return !discard, nil
}

// handleParameterStatus records the position that the instance reports.
func (r *response) handleParameterStatus(body []byte) {
	var s pgproto3.ParameterStatus
	if err := s.Decode(body); err != nil || s.Name != positionParameter {
		return
	}
	if p, ok := tracker.ParsePosition(s.Value); ok {
		r.conn.position = p
	}
}

// forward appends a frame to the output and bounds the output that is held back.
func (r *response) forward(raw []byte) error {
	r.appendFrame(raw)
	if len(r.held) > maxHeldBytes {
		return eris.New("the answer to a write is too long to be held back")
	}
	return nil
}

// appendFrame appends a frame to the held output if there is any, and to the
// output otherwise.
func (r *response) appendFrame(raw []byte) {
	if r.held != nil {
		r.held = append(r.held, raw...)
		return
	}
	r.out = append(r.out, raw...)
}

// flush writes the buffered output to the sink.
func (r *response) flush() error {
	if len(r.out) == 0 {
		return nil
	}
	r.forwarded = true
	err := r.sink.WriteFrames(r.out)
	r.out = r.out[:0]
	return err
}

// flushHeld writes the output that was held back to the sink.
func (r *response) flushHeld() error {
	r.out = append(r.out, r.held...)
	r.held = nil
	return r.flush()
}
