package endpointfaker

import (
	"crypto/rand"
	"encoding/binary"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

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

	settings         map[string]string
	tx               *transaction
	statements       map[string]*preparedStatement
	portals          map[string]*portal
	reportedPosition tracker.Position
	skipUntilSync    bool
	responseDropped  bool

	closeOnce sync.Once
	done      chan struct{}
	cancelled chan struct{}
}

// newSession returns a session on a connection; c may be nil.
func newSession(i *Instance, c net.Conn) *session {
	id := make([]byte, 8)
	_, _ = rand.Read(id)
	return &session{
		instance:   i,
		conn:       c,
		process:    binary.BigEndian.Uint32(id),
		secret:     id[4:],
		settings:   map[string]string{},
		statements: map[string]*preparedStatement{},
		portals:    map[string]*portal{},
		done:       make(chan struct{}),
		cancelled:  make(chan struct{}, 1),
	}
}

// close closes the connection.
func (s *session) close() {
	s.closeOnce.Do(func() {
		close(s.done)
		if s.conn != nil {
			_ = s.conn.Close()
		}
	})
}

// serve handles messages until the connection is closed.
func (s *session) serve() {
	defer s.cleanUp()
	s.backend = pgproto3.NewBackend(s.conn, s.conn)
	if !s.startup() {
		return
	}
	for {
		m, err := s.backend.Receive()
		if err != nil {
			return
		}
		s.instance.waitUntilResumed(s.done)
		if !s.handle(m) {
			return
		}
	}
}

// cleanUp closes the connection, rolls back an open transaction and removes the
// session from the instance.
func (s *session) cleanUp() {
	s.close()
	if s.tx != nil {
		s.tx.release()
		s.tx = nil
	}
	s.instance.unregister(s)
}

// startup performs the startup handshake and reports whether it succeeded.
func (s *session) startup() bool {
	m, err := s.backend.ReceiveStartupMessage()
	if err != nil {
		return false
	}
	s.instance.waitUntilResumed(s.done)
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
	if err := s.instance.register(s); err != nil {
		s.sendError(err)
		_ = s.backend.Flush()
		return false
	}
	s.backend.Send(&pgproto3.AuthenticationOk{})
	s.backend.Send(&pgproto3.ParameterStatus{Name: "server_version", Value: "16.0"})
	s.backend.Send(&pgproto3.ParameterStatus{Name: "client_encoding", Value: "UTF8"})
	s.backend.Send(&pgproto3.ParameterStatus{Name: "standard_conforming_strings", Value: "on"})
	s.backend.Send(&pgproto3.BackendKeyData{ProcessID: s.process, SecretKey: s.secret})
	s.sendReady()
	return s.backend.Flush() == nil
}

// handle handles one message and reports whether the connection stays open.
func (s *session) handle(m pgproto3.FrontendMessage) bool {
	switch m := m.(type) {
	case *pgproto3.Terminate:
		return false
	case *pgproto3.Query:
		s.query(m.String)
		s.sendReady()
		return s.flush()
	case *pgproto3.Sync:
		s.skipUntilSync = false
		s.sendReady()
		return s.flush()
	case *pgproto3.Flush:
		return s.backend.Flush() == nil
	}
	if s.skipUntilSync {
		return true
	}
	if err := s.handleExtended(m); err != nil {
		s.fail(err)
		s.skipUntilSync = true
	}
	return !s.responseDropped
}

// query handles a Query message of the simple query protocol.
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

// run executes the statements of an SQL text without a connection and returns the
// last result.
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
