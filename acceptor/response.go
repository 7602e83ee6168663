package acceptor

import (
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/marigoldgauge/marigoldgauge/classifier"
	"github.com/marigoldgauge/marigoldgauge/coder"
)

// flushThreshold is the size of the buffered output at which it is sent.
const flushThreshold = 16 << 10

// isDisconnect reports whether an error means that the client disconnected.
func isDisconnect(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.ErrClosedPipe)
}

// send appends a message to the buffered output. It panics if the message
// cannot be encoded, which does not happen to messages built by this package.
func (s *session) send(m pgproto3.BackendMessage) {
	out, err := m.Encode(s.output)
	if err != nil {
		panic(err)
	}
	s.output = out
}

// flush writes the buffered output to the client.
func (s *session) flush() error {
	if len(s.output) == 0 {
		return nil
	}
	if now := time.Now(); now.Sub(s.writeDeadlineSet) > writeDeadlineInterval {
		s.writeDeadlineSet = now
		if err := s.conn.SetWriteDeadline(now.Add(s.acceptor.Settings.WriteTimeout)); err != nil {
			return err
		}
	}
	_, err := s.conn.Write(s.output)
	if cap(s.output) > maxRetainedBytes {
		s.output = nil
	} else {
		s.output = s.output[:0]
	}
	return err
}

// writeDeadlineInterval is the minimum time between two updates of the write deadline.
const writeDeadlineInterval = time.Second

// maxRetainedBytes is the largest output buffer, in bytes, that is retained for the
// next response; it bounds the memory of idle clients.
const maxRetainedBytes = 1 << 9

// WriteFrames forwards protocol messages of a response to the client.
func (s *session) WriteFrames(raw []byte) error {
	s.output = append(s.output, raw...)
	if len(s.output) < flushThreshold {
		return nil
	}
	return s.flush()
}

// sendReady ends a response with ReadyForQuery.
func (s *session) sendReady() {
	s.send(&pgproto3.ReadyForQuery{TxStatus: s.status})
}

// sendToken sends the session token to the client as a parameter status.
func (s *session) sendToken() {
	s.send(&pgproto3.ParameterStatus{Name: classifier.SessionSetting, Value: s.newToken()})
}

// sendError sends an error with its SQLSTATE, its outcome and, as a hint, the
// time after which to retry.
func (s *session) sendError(e *coder.Error, severity string) {
	m := &pgproto3.ErrorResponse{
		Severity:            severity,
		SeverityUnlocalized: severity,
		Code:                coder.Lookup(e.Code).SQLState,
		Message:             e.Error(),
		Detail:              "outcome=" + e.Outcome.String(),
	}
	if e.RetryAfter > 0 {
		m.Hint = fmt.Sprintf("retry after %dms", max(e.RetryAfter.Milliseconds(), 1))
	}
	s.send(m)
}
