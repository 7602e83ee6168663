package endpointfaker

import (
	"errors"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
)

// flush sends what is waiting, unless the answer is to be lost.
func (s *session) flush() bool {
	f := s.instance.fault()
	if f.LateAnswer > 0 {
		time.Sleep(f.LateAnswer)
	}
	if s.lost {
		return false
	}
	return s.backend.Flush() == nil
}

// ready reports the position, when it changed, and the end of an answer.
func (s *session) ready() {
	s.instance.mu.Lock()
	p := s.instance.position()
	s.instance.mu.Unlock()
	if p != s.reported {
		s.reported = p
		s.backend.Send(&pgproto3.ParameterStatus{Name: "marigoldgauge.position", Value: p.String()})
	}
	s.backend.Send(&pgproto3.ReadyForQuery{TxStatus: s.txStatus()})
}

// txStatus returns the state of the transaction as the protocol writes it.
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

// fail sends an error and spoils the transaction.
func (s *session) fail(err error) {
	if s.tx != nil {
		s.tx.failed = true
	}
	s.sendError(err)
}

// sendError sends an error.
func (s *session) sendError(err error) {
	var pg *pgconn.PgError
	if !errors.As(err, &pg) {
		pg = &pgconn.PgError{Code: "XX000", Message: err.Error()}
	}
	s.backend.Send(&pgproto3.ErrorResponse{Severity: "ERROR", Code: pg.Code, Message: pg.Message})
}

// sendColumns sends the description of rows, if there are columns.
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

// format returns the wire format of a column.
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

// flushRows is the number of rows after which the output is sent.
const flushRows = 256

// sendRows sends the rows of a result.
func (s *session) sendRows(r result, formats []int16) {
	for n, row := range r.rows {
		d := &pgproto3.DataRow{Values: make([][]byte, len(row))}
		for c, v := range row {
			d.Values[c] = v.encode(format(formats, c))
		}
		s.backend.Send(d)
		if n%flushRows == flushRows-1 && !s.lost {
			_ = s.backend.Flush()
		}
	}
}
