package endpointfaker

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	pgquery "github.com/pganalyze/pg_query_go/v6"

	"github.com/marigoldgauge/marigoldgauge/tracker"
)

// session is one connection to an instance.
type session struct {
	instance *Instance
	conn     net.Conn
	backend  *pgproto3.Backend
	epoch    uint64
	process  uint32
	secret   []byte

	settings   map[string]string
	tx         *transaction
	statements map[string]*prepared
	portals    map[string]*portal
	reported   tracker.Position
	skipping   bool
	lost       bool

	once      sync.Once
	done      chan struct{}
	cancelled chan struct{}
}

// newSession returns a session on a connection.
func newSession(i *Instance, c net.Conn) *session {
	id := make([]byte, 8)
	_, _ = rand.Read(id)
	return &session{
		instance:   i,
		conn:       c,
		process:    binary.BigEndian.Uint32(id),
		secret:     id[4:],
		settings:   map[string]string{},
		statements: map[string]*prepared{},
		portals:    map[string]*portal{},
		done:       make(chan struct{}),
		cancelled:  make(chan struct{}, 1),
	}
}

// kill closes the connection.
func (s *session) kill() {
	s.once.Do(func() {
		close(s.done)
		if s.conn != nil {
			_ = s.conn.Close()
		}
	})
}

// serve answers messages until the connection ends.
func (s *session) serve() {
	defer s.end()
	s.backend = pgproto3.NewBackend(s.conn, s.conn)
	if !s.startup() {
		return
	}
	for {
		m, err := s.backend.Receive()
		if err != nil {
			return
		}
		s.instance.waitResumed(s.done)
		if !s.handle(m) {
			return
		}
	}
}

// end rolls an open transaction back and frees the connection.
func (s *session) end() {
	s.kill()
	if s.tx != nil {
		s.tx.release()
		s.tx = nil
	}
	s.instance.dismiss(s)
}

// startup runs the start-up exchange.
func (s *session) startup() bool {
	m, err := s.backend.ReceiveStartupMessage()
	if err != nil {
		return false
	}
	s.instance.waitResumed(s.done)
	switch m := m.(type) {
	case *pgproto3.CancelRequest:
		s.instance.cancel(m.ProcessID, m.SecretKey)
		return false
	case *pgproto3.SSLRequest, *pgproto3.GSSEncRequest:
		if _, err := s.conn.Write([]byte{'N'}); err != nil {
			return false
		}
		return s.startup()
	case *pgproto3.StartupMessage:
		s.epoch, _ = strconv.ParseUint(m.Parameters["marigoldgauge.pool_epoch"], 10, 64)
	}
	if delay := s.instance.group.options.ConnectDelay; delay > 0 {
		time.Sleep(delay)
	}
	if err := s.instance.admit(s); err != nil {
		s.sendError(err)
		_ = s.backend.Flush()
		return false
	}
	s.backend.Send(&pgproto3.AuthenticationOk{})
	s.backend.Send(&pgproto3.ParameterStatus{Name: "server_version", Value: "16.0"})
	s.backend.Send(&pgproto3.ParameterStatus{Name: "client_encoding", Value: "UTF8"})
	s.backend.Send(&pgproto3.ParameterStatus{Name: "standard_conforming_strings", Value: "on"})
	s.backend.Send(&pgproto3.BackendKeyData{ProcessID: s.process, SecretKey: s.secret})
	s.ready()
	return s.backend.Flush() == nil
}

// handle answers one message and reports whether the connection goes on.
func (s *session) handle(m pgproto3.FrontendMessage) bool {
	switch m := m.(type) {
	case *pgproto3.Terminate:
		return false
	case *pgproto3.Query:
		s.query(m.String)
		s.ready()
		return s.flush()
	case *pgproto3.Sync:
		s.skipping = false
		s.ready()
		return s.flush()
	case *pgproto3.Flush:
		return s.backend.Flush() == nil
	}
	if s.skipping {
		return true
	}
	if err := s.extended(m); err != nil {
		s.fail(err)
		s.skipping = true
	}
	return !s.lost
}

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

// query answers a simple query.
func (s *session) query(text string) {
	tree, err := parse(text)
	if err != nil {
		s.fail(err)
		return
	}
	if len(tree.Stmts) == 0 {
		s.backend.Send(&pgproto3.EmptyQueryResponse{})
		return
	}
	for _, stmt := range tree.Stmts {
		r, err := s.execute(stmt.Stmt, text, nil)
		if err != nil {
			s.fail(err)
			return
		}
		s.sendColumns(r.columns, nil)
		s.sendRows(r, nil)
		s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(r.tag)})
	}
}

// run runs a text of one statement, for use without a connection.
func (s *session) run(text string, params []Value) (result, error) {
	tree, err := parse(text)
	if err != nil {
		return result{}, err
	}
	var r result
	for _, stmt := range tree.Stmts {
		if r, err = s.execute(stmt.Stmt, text, params); err != nil {
			return result{}, err
		}
	}
	return r, nil
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

// extended answers a message of the extended protocol.
func (s *session) extended(m pgproto3.FrontendMessage) error {
	switch m := m.(type) {
	case *pgproto3.Parse:
		return s.parse(m)
	case *pgproto3.Bind:
		return s.bind(m)
	case *pgproto3.Describe:
		return s.describe(m)
	case *pgproto3.Execute:
		return s.executePortal(m)
	case *pgproto3.Close:
		if m.ObjectType == 'S' {
			delete(s.statements, m.Name)
		} else {
			delete(s.portals, m.Name)
		}
		s.backend.Send(&pgproto3.CloseComplete{})
		return nil
	default:
		return failure("0A000", "unsupported message")
	}
}

// parse prepares a statement.
func (s *session) parse(m *pgproto3.Parse) error {
	tree, err := parse(m.Query)
	if err != nil {
		return err
	}
	p := &prepared{text: m.Query}
	if len(tree.Stmts) > 0 {
		p.node = tree.Stmts[0].Stmt
		p.params = infer(p.node, s.reader())
	}
	for n, oid := range m.ParameterOIDs {
		if oid != 0 && n < len(p.params) {
			p.params[n] = oid
		}
	}
	s.statements[m.Name] = p
	s.backend.Send(&pgproto3.ParseComplete{})
	return nil
}

// reader returns a function that reads a table as the session sees it.
func (s *session) reader() func(string) (*table, error) {
	tx := s.tx
	if tx == nil {
		tx = s.instance.begin(false, true)
	}
	return tx.read
}

// bind binds a statement to parameters.
func (s *session) bind(m *pgproto3.Bind) error {
	p := s.statements[m.PreparedStatement]
	if p == nil {
		return failure("26000", "prepared statement \""+m.PreparedStatement+"\" does not exist")
	}
	o := &portal{statement: p, formats: append([]int16(nil), m.ResultFormatCodes...)}
	for n, raw := range m.Parameters {
		oid := uint32(25)
		if n < len(p.params) {
			oid = p.params[n]
		}
		o.params = append(o.params, decode(oid, format(m.ParameterFormatCodes, n), raw))
	}
	s.portals[m.DestinationPortal] = o
	s.backend.Send(&pgproto3.BindComplete{})
	return nil
}

// describe describes a statement or a portal.
func (s *session) describe(m *pgproto3.Describe) error {
	var p *prepared
	var formats []int16
	if m.ObjectType == 'S' {
		p = s.statements[m.Name]
	} else if o := s.portals[m.Name]; o != nil {
		p, formats = o.statement, o.formats
	}
	if p == nil {
		return failure("26000", "nothing to describe")
	}
	if m.ObjectType == 'S' {
		s.backend.Send(&pgproto3.ParameterDescription{ParameterOIDs: p.params})
	}
	columns := s.columns(p.node)
	if columns == nil {
		s.backend.Send(&pgproto3.NoData{})
		return nil
	}
	s.sendColumns(columns, formats)
	return nil
}

// columns returns the columns of a statement's rows, or nil.
func (s *session) columns(n *pgquery.Node) []column {
	e := &evaluator{session: s, tx: s.instance.begin(false, true), params: make([]Value, 64)}
	if s.tx != nil {
		e.tx = s.tx
	}
	var relation string
	var list []*pgquery.Node
	switch x := n.GetNode().(type) {
	case *pgquery.Node_SelectStmt:
		if len(x.SelectStmt.FromClause) == 0 {
			return e.expressionColumns(x.SelectStmt)
		}
		relation, list = x.SelectStmt.FromClause[0].GetRangeVar().GetRelname(), x.SelectStmt.TargetList
	case *pgquery.Node_InsertStmt:
		relation, list = x.InsertStmt.Relation.Relname, x.InsertStmt.ReturningList
	case *pgquery.Node_UpdateStmt:
		relation, list = x.UpdateStmt.Relation.Relname, x.UpdateStmt.ReturningList
	case *pgquery.Node_VariableShowStmt:
		return []column{{x.VariableShowStmt.Name, 25}}
	}
	t, err := e.tx.read(relation)
	if err != nil || len(list) == 0 {
		return nil
	}
	r, err := e.project(t, nil, list)
	if err != nil {
		return nil
	}
	return r.columns
}

// expressionColumns returns the columns of a query without tables.
func (e *evaluator) expressionColumns(x *pgquery.SelectStmt) []column {
	var out []column
	for _, target := range x.TargetList {
		c := e.describe(nil, target.GetResTarget())
		if f := target.GetResTarget().Val.GetFuncCall(); f != nil {
			c.name = functionName(f)
			if c.name == "generate_series" {
				c.oid = 20
			}
		}
		out = append(out, c)
	}
	return out
}

// executePortal runs a portal.
func (s *session) executePortal(m *pgproto3.Execute) error {
	o := s.portals[m.Portal]
	if o == nil {
		return failure("34000", "portal does not exist")
	}
	if o.statement.node == nil {
		s.backend.Send(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	r, err := s.execute(o.statement.node, o.statement.text, o.params)
	if err != nil {
		return err
	}
	s.sendRows(r, o.formats)
	s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(r.tag)})
	return nil
}
