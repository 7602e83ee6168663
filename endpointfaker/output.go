package endpointfaker

import (
	"errors"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
)

// flush sends the buffered output, unless the response is dropped, and reports
// whether the connection can continue.
func (s *session) flush() bool {
	f := s.instance.currentFaults()
	if f.ResponseDelay > 0 {
		time.Sleep(f.ResponseDelay)
	}
	if s.responseDropped {
		return false
	}
	return s.backend.Flush() == nil
}

// sendReady buffers the log position, if it changed, and a ReadyForQuery message.
func (s *session) sendReady() {
	s.instance.mu.Lock()
	p := s.instance.position()
	s.instance.mu.Unlock()
	if p != s.reportedPosition {
		s.reportedPosition = p
		s.backend.Send(&pgproto3.ParameterStatus{Name: "marigoldgauge.position", Value: p.String()})
	}
	s.backend.Send(&pgproto3.ReadyForQuery{TxStatus: s.txStatus()})
}

// txStatus returns the transaction status byte of the protocol.
func (s *session) txStatus() byte {
	switch {
	case s.tx == nil:
		return 'I'
	case s.tx.failed:
		return 'E'
	default:
		return 'T'
	}
}

// fail buffers an error response and marks the transaction as failed.
func (s *session) fail(err error) {
	if s.tx != nil {
		s.tx.failed = true
	}
	s.sendError(err)
}

// sendError buffers an error response.
func (s *session) sendError(err error) {
	var pg *pgconn.PgError
	if !errors.As(err, &pg) {
		pg = &pgconn.PgError{Code: "XX000", Message: err.Error()}
	}
	s.backend.Send(&pgproto3.ErrorResponse{Severity: "ERROR", Code: pg.Code, Message: pg.Message})
}

// sendColumns buffers a RowDescription message, unless columns is nil.
func (s *session) sendColumns(columns []column, formats []int16) {
	if columns == nil {
		return
	}
	d := &pgproto3.RowDescription{}
	for n, c := range columns {
		size := int16(-1)
		if c.oid == 20 {
			size = 8
		}
		d.Fields = append(d.Fields, pgproto3.FieldDescription{Name: []byte(c.name), DataTypeOID: c.oid, DataTypeSize: size, TypeModifier: -1, Format: format(formats, n)})
	}
	s.backend.Send(d)
}

// format returns the format code of the value at index n.
func format(formats []int16, n int) int16 {
	switch {
	case len(formats) == 0:
		return 0
	case len(formats) == 1:
		return formats[0]
	case n < len(formats):
		return formats[n]
	default:
		return 0
	}
}

// rowsPerFlush is the number of rows after which the output is flushed.
const rowsPerFlush = 256

// sendRows sends the rows of a result and flushes after every rowsPerFlush rows.
func (s *session) sendRows(r result, formats []int16) {
	for n, row := range r.rows {
		d := &pgproto3.DataRow{Values: make([][]byte, len(row))}
		for c, v := range row {
			d.Values[c] = v.encode(format(formats, c))
		}
		s.backend.Send(d)
		if n%rowsPerFlush == rowsPerFlush-1 && !s.responseDropped {
			_ = s.backend.Flush()
		}
	}
}
