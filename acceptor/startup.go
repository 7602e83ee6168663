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
	"github.com/marigoldgauge/marigoldgauge/configurator"
)

// maxStartupBytes is the maximum size of a message in the start-up exchange.
const maxStartupBytes = 16 << 10

// errCancelRequest ends a connection that was opened for a cancel request.
var errCancelRequest = errors.New("cancel request")

// startup runs the start-up exchange, which authenticates the client.
func (s *session) startup(ctx context.Context) error {
	if err := s.conn.SetDeadline(time.Now().Add(s.acceptor.Settings.StartupTimeout)); err != nil {
		return err
	}
	m, err := s.receiveStartup(ctx)
	if err != nil {
		return err
	}
	s.backend.SetMaxBodyLen(maxStartupBytes)
	if err := s.authenticate(m); err != nil {
		return err
	}
	if err := s.applyStartupToken(m); err != nil {
		return err
	}
	if !s.acceptor.addSession(s) {
		return coder.New(coder.Draining, "this VM takes no more callers")
	}
	// The key may have been withdrawn since it was looked up, before the session was added.
	if !s.holdsKey(s.acceptor.Configuration.Index()) {
		return coder.New(coder.KeyWithdrawn, "the key of this connection was withdrawn")
	}
	s.backend.SetMaxBodyLen(s.acceptor.Settings.MaxMessageBytes)
	s.finishStartup()
	if err := s.flush(); err != nil {
		return err
	}
	return s.conn.SetDeadline(time.Time{})
}

// receiveStartup negotiates encryption and receives the start-up message.
func (s *session) receiveStartup(ctx context.Context) (*pgproto3.StartupMessage, error) {
	encrypted := false
	for {
		m, err := s.backend.ReceiveStartupMessage()
		if err != nil {
			return nil, classifyStartupError(err)
		}
		switch m := m.(type) {
		case *pgproto3.StartupMessage:
			if s.acceptor.Settings.RequireTLS && !encrypted {
				return nil, coder.New(coder.TLSRequired, "this listener takes callers over TLS only")
			}
			return m, nil
		case *pgproto3.CancelRequest:
			s.acceptor.handleCancel(ctx, m)
			return nil, errCancelRequest
		case *pgproto3.SSLRequest:
			if encrypted || s.acceptor.Settings.TLS == nil {
				if _, err := s.conn.Write([]byte{'N'}); err != nil {
					return nil, err
				}
				continue
			}
			if err := s.upgradeTLS(ctx); err != nil {
				return nil, err
			}
			encrypted = true
		default:
			if _, err := s.conn.Write([]byte{'N'}); err != nil {
				return nil, err
			}
		}
	}
}

// classifyStartupError returns a coded error for an error of the start-up
// exchange.
func classifyStartupError(err error) error {
	var timeout interface{ Timeout() bool }
	if errors.As(err, &timeout) && timeout.Timeout() {
		return coder.New(coder.StartupTimeout, "the start-up took too long")
	}
	return coder.New(coder.StartupInvalid, "the start-up message is malformed")
}

// upgradeTLS upgrades the connection to TLS.
func (s *session) upgradeTLS(ctx context.Context) error {
	if _, err := s.conn.Write([]byte{'S'}); err != nil {
		return err
	}
	conn := tls.Server(s.conn, s.acceptor.Settings.TLS)
	if err := conn.HandshakeContext(ctx); err != nil {
		return err
	}
	s.conn = conn
	s.backend = pgproto3.NewBackend(conn, conn)
	return nil
}

// handleCancel handles a cancel request, here or at the VM that issued the process ID.
func (a *Acceptor) handleCancel(ctx context.Context, m *pgproto3.CancelRequest) {
	if len(m.SecretKey) != 4 {
		return
	}
	secret := binary.BigEndian.Uint32(m.SecretKey)
	if !a.Cancel(ctx, m.ProcessID, secret) && a.CancelForwarder != nil {
		a.CancelForwarder.ForwardCancel(ctx, m.ProcessID, secret)
	}
}

// authenticate authenticates the client and determines its route. Open routes
// need no key.
func (s *session) authenticate(m *pgproto3.StartupMessage) error {
	database := m.Parameters["database"]
	if database == "" {
		database = m.Parameters["user"]
	}
	s.database = database
	index := s.acceptor.Configuration.Index()
	if r, ok := index.State().Route(database); ok && r.Open {
		s.route = r
		s.organisation = configurator.OpenOrganisation
		s.send(&pgproto3.AuthenticationOk{})
		return nil
	}
	id := m.Parameters["user"]
	organisation, key, known := index.Key(id)
	if err := s.verifyKey(id, key, known); err != nil {
		s.acceptor.counters.RejectedClients.Add(1)
		return err
	}
	r, ok := index.AllowedRoute(organisation, database)
	if !ok {
		return coder.New(coder.RouteUnknown, "no database of that name is open to the key")
	}
	s.route = r
	s.organisation = organisation
	s.keyID = id
	s.send(&pgproto3.AuthenticationOk{})
	return nil
}

// verifyKey runs the SCRAM exchange with the client. The client cannot tell
// whether its key is wrong, unknown or revoked.
func (s *session) verifyKey(id string, key configurator.Key, known bool) error {
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
	response, err := c.Step(initial.Data)
	if err != nil {
		return refused
	}
	s.send(&pgproto3.AuthenticationSASLContinue{Data: response})
	second, err := s.receiveSASL(pgproto3.AuthTypeSASLContinue)
	if err != nil {
		return err
	}
	proof, ok := second.(*pgproto3.SASLResponse)
	if !ok {
		return refused
	}
	response, err = c.Step(proof.Data)
	if err != nil || !c.Valid() {
		return refused
	}
	s.send(&pgproto3.AuthenticationSASLFinal{Data: response})
	return nil
}

// receiveSASL sends the buffered output and receives the next message of the SASL
// exchange.
func (s *session) receiveSASL(kind uint32) (pgproto3.FrontendMessage, error) {
	if err := s.flush(); err != nil {
		return nil, err
	}
	if err := s.backend.SetAuthType(kind); err != nil {
		return nil, err
	}
	m, err := s.backend.Receive()
	if err != nil {
		return nil, classifyStartupError(err)
	}
	return m, nil
}

// applyStartupToken applies the session token of the start-up parameters, if any.
func (s *session) applyStartupToken(m *pgproto3.StartupMessage) error {
	token := m.Parameters[classifier.SessionSetting]
	if token == "" {
		token = tokenFromOptions(m.Parameters["options"])
	}
	if token == "" {
		return nil
	}
	return s.applyToken(token)
}

// tokenFromOptions returns the session token that is set in the options
// parameter, or an empty string.
func tokenFromOptions(options string) string {
	for _, word := range strings.Fields(options) {
		word = strings.TrimPrefix(strings.TrimPrefix(word, "-c"), "--")
		if token, ok := strings.CutPrefix(word, classifier.SessionSetting+"="); ok {
			return token
		}
	}
	return ""
}

// serverParameters are the parameters that all endpoints have in common. The proxy
// reports them at start-up.
var serverParameters = []pgproto3.ParameterStatus{
	{Name: "server_version", Value: "16.0"},
	{Name: "server_encoding", Value: "UTF8"},
	{Name: "client_encoding", Value: "UTF8"},
	{Name: "DateStyle", Value: "ISO, MDY"},
	{Name: "IntervalStyle", Value: "postgres"},
	{Name: "TimeZone", Value: "UTC"},
	{Name: "integer_datetimes", Value: "on"},
	{Name: "standard_conforming_strings", Value: "on"},
}

// finishStartup sends the parameters, the cancel key and ReadyForQuery.
func (s *session) finishStartup() {
	for i := range serverParameters {
		s.send(&serverParameters[i])
	}
	secret := binary.BigEndian.AppendUint32(nil, s.secret)
	s.send(&pgproto3.BackendKeyData{ProcessID: s.process, SecretKey: secret})
	s.sendReady()
}
