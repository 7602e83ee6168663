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

// flushBytes is the amount of output after which it is sent.
const flushBytes = 16 << 10

// isEnd reports whether an error means that the caller went away.
func isEnd(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.ErrClosedPipe)
}

// send appends a message to the output; messages built here always encode.
func (s *session) send(m pgproto3.BackendMessage) {
	out, err := m.Encode(s.out)
	if err != nil {
		panic(err)
	}
	s.out = out
}

// flush sends the output.
func (s *session) flush() error {
	if len(s.out) == 0 {
		return nil
	}
	if now := time.Now(); now.Sub(s.deadlineSet) > deadlineEvery {
		s.deadlineSet = now
		if err := s.conn.SetWriteDeadline(now.Add(s.acceptor.Settings.WriteTimeout)); err != nil {
			return err
		}
	}
	_, err := s.conn.Write(s.out)
	if cap(s.out) > keptBytes {
		s.out = nil
	} else {
		s.out = s.out[:0]
	}
	return err
}

// deadlineEvery is the time after which the bound of a write is set anew.
const deadlineEvery = time.Second

// keptBytes is the largest output buffer that an idle caller keeps.
const keptBytes = 1 << 9

// Frames passes frames of an answer on to the caller.
func (s *session) Frames(raw []byte) error {
	s.out = append(s.out, raw...)
	if len(s.out) < flushBytes {
		return nil
	}
	return s.flush()
}

// ready ends an answer.
func (s *session) ready() {
	s.send(&pgproto3.ReadyForQuery{TxStatus: s.status})
}

// report tells the caller its session token.
func (s *session) report() {
	s.send(&pgproto3.ParameterStatus{Name: classifier.SessionSetting, Value: s.token()})
}

// sendError appends an error with its code, its outcome and when to come back.
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
