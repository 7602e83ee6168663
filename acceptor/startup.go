package acceptor

import (
	"context"
	"crypto/tls"
	"encoding/binary"
	"errors"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/marigoldgauge/marigoldgauge/authenticator"
	"github.com/marigoldgauge/marigoldgauge/classifier"
	"github.com/marigoldgauge/marigoldgauge/coder"
	"github.com/marigoldgauge/marigoldgauge/governor"
)

// startupBytes bounds the messages of the start-up exchange.
const startupBytes = 16 << 10

// errCancel ends a connection that carried a cancel request only.
var errCancel = errors.New("cancel request")

// startup runs the start-up exchange.
func (s *session) startup(ctx context.Context) error {
	if err := s.conn.SetDeadline(time.Now().Add(s.acceptor.Settings.StartupTimeout)); err != nil {
		return err
	}
	m, err := s.hello(ctx)
	if err != nil {
		return err
	}
	s.backend.SetMaxBodyLen(startupBytes)
	if err := s.authenticate(m); err != nil {
		return err
	}
	if err := s.present(m); err != nil {
		return err
	}
	if !s.acceptor.register(s) {
		return coder.New(coder.Draining, "this VM takes no more callers")
	}
	s.backend.SetMaxBodyLen(s.acceptor.Settings.MaxMessageBytes)
	s.greet()
	if err := s.flush(); err != nil {
		return err
	}
	return s.conn.SetDeadline(time.Time{})
}

// hello negotiates encryption and receives the start-up message.
func (s *session) hello(ctx context.Context) (*pgproto3.StartupMessage, error) {
	secured := false
	for {
		m, err := s.backend.ReceiveStartupMessage()
		if err != nil {
			return nil, startupError(err)
		}
		switch m := m.(type) {
		case *pgproto3.StartupMessage:
			if s.acceptor.Settings.RequireTLS && !secured {
				return nil, coder.New(coder.TLSRequired, "this listener takes callers over TLS only")
			}
			return m, nil
		case *pgproto3.CancelRequest:
			s.acceptor.forwardCancel(ctx, m)
			return nil, errCancel
		case *pgproto3.SSLRequest:
			if secured || s.acceptor.Settings.TLS == nil {
				if _, err := s.conn.Write([]byte{'N'}); err != nil {
					return nil, err
				}
				continue
			}
			if err := s.secure(ctx); err != nil {
				return nil, err
			}
			secured = true
		default:
			if _, err := s.conn.Write([]byte{'N'}); err != nil {
				return nil, err
			}
		}
	}
}

// startupError gives an error of the start-up exchange its code.
func startupError(err error) error {
	var timeout interface{ Timeout() bool }
	if errors.As(err, &timeout) && timeout.Timeout() {
		return coder.New(coder.StartupTimeout, "the start-up took too long")
	}
	return coder.New(coder.StartupInvalid, "the start-up message is malformed")
}

// secure upgrades the connection to TLS.
func (s *session) secure(ctx context.Context) error {
	if _, err := s.conn.Write([]byte{'S'}); err != nil {
		return err
	}
	secured := tls.Server(s.conn, s.acceptor.Settings.TLS)
	if err := secured.HandshakeContext(ctx); err != nil {
		return err
	}
	s.conn = secured
	s.backend = pgproto3.NewBackend(secured, secured)
	return nil
}

// forwardCancel interrupts the statement that a cancel request names.
func (a *Acceptor) forwardCancel(ctx context.Context, m *pgproto3.CancelRequest) {
	if len(m.SecretKey) != 4 {
		return
	}
	secret := binary.BigEndian.Uint32(m.SecretKey)
	if !a.Cancel(ctx, m.ProcessID, secret) && a.Cancels != nil {
		a.Cancels.ForwardCancel(ctx, m.ProcessID, secret)
	}
}

// authenticate checks the caller's key, unless the route is open to all.
func (s *session) authenticate(m *pgproto3.StartupMessage) error {
	database := m.Parameters["database"]
	if database == "" {
		database = m.Parameters["user"]
	}
	index := s.acceptor.Configuration.Index()
	if r, ok := index.State().Route(database); ok && r.Open {
		s.route = r
		s.organisation = governor.OpenOrganisation
		s.send(&pgproto3.AuthenticationOk{})
		return nil
	}
	id := m.Parameters["user"]
	organisation, key, known := index.Key(id)
	if err := s.prove(id, key, known); err != nil {
		s.acceptor.counters.Rejected.Add(1)
		return err
	}
	r, ok := index.Allowed(organisation, database)
	if !ok {
		return coder.New(coder.RouteUnknown, "no database of that name is open to the key")
	}
	s.route = r
	s.organisation = organisation
	s.key = id
	s.send(&pgproto3.AuthenticationOk{})
	return nil
}

// prove proves that the caller has the key; wrong, unknown and withdrawn
// keys look the same from outside.
func (s *session) prove(id string, key governor.Key, known bool) error {
	refused := coder.New(coder.KeyRefused, "the key was refused")
	c, err := s.acceptor.Authenticator.Begin(id, key, known)
	if err != nil {
		return refused
	}
	s.send(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{authenticator.Mechanism}})
	first, err := s.receiveSASL(pgproto3.AuthTypeSASL)
	if err != nil {
		return err
	}
	initial, ok := first.(*pgproto3.SASLInitialResponse)
	if !ok || initial.AuthMechanism != authenticator.Mechanism {
		return refused
	}
	answer, err := c.Step(initial.Data)
	if err != nil {
		return refused
	}
	s.send(&pgproto3.AuthenticationSASLContinue{Data: answer})
	second, err := s.receiveSASL(pgproto3.AuthTypeSASLContinue)
	if err != nil {
		return err
	}
	proof, ok := second.(*pgproto3.SASLResponse)
	if !ok {
		return refused
	}
	answer, err = c.Step(proof.Data)
	if err != nil || !c.Valid() {
		return refused
	}
	s.send(&pgproto3.AuthenticationSASLFinal{Data: answer})
	return nil
}

// receiveSASL sends what is waiting and receives the next message of the exchange.
func (s *session) receiveSASL(kind uint32) (pgproto3.FrontendMessage, error) {
	if err := s.flush(); err != nil {
		return nil, err
	}
	if err := s.backend.SetAuthType(kind); err != nil {
		return nil, err
	}
	m, err := s.backend.Receive()
	if err != nil {
		return nil, startupError(err)
	}
	return m, nil
}

// present takes a session token from the start-up parameters.
func (s *session) present(m *pgproto3.StartupMessage) error {
	token := m.Parameters[classifier.SessionSetting]
	if token == "" {
		token = tokenOfOptions(m.Parameters["options"])
	}
	if token == "" {
		return nil
	}
	return s.takeToken(token)
}

// tokenOfOptions finds a session token among command-line options.
func tokenOfOptions(options string) string {
	for _, word := range strings.Fields(options) {
		word = strings.TrimPrefix(strings.TrimPrefix(word, "-c"), "--")
		if token, ok := strings.CutPrefix(word, classifier.SessionSetting+"="); ok {
			return token
		}
	}
	return ""
}

// parameters are what the endpoints have in common; the proxy answers for them.
var parameters = []pgproto3.ParameterStatus{
	{Name: "server_version", Value: "16.0"},
	{Name: "server_encoding", Value: "UTF8"},
	{Name: "client_encoding", Value: "UTF8"},
	{Name: "DateStyle", Value: "ISO, MDY"},
	{Name: "IntervalStyle", Value: "postgres"},
	{Name: "TimeZone", Value: "UTC"},
	{Name: "integer_datetimes", Value: "on"},
	{Name: "standard_conforming_strings", Value: "on"},
}

// greet ends the start-up exchange.
func (s *session) greet() {
	for i := range parameters {
		s.send(&parameters[i])
	}
	secret := binary.BigEndian.AppendUint32(nil, s.secret)
	s.send(&pgproto3.BackendKeyData{ProcessID: s.process, SecretKey: secret})
	s.ready()
}
