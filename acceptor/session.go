package acceptor

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/marigoldgauge/marigoldgauge/coder"
	"github.com/marigoldgauge/marigoldgauge/configurator"
	"github.com/marigoldgauge/marigoldgauge/pooler"
	"github.com/marigoldgauge/marigoldgauge/signer"
	"github.com/marigoldgauge/marigoldgauge/tracker"
)

// session is a client connection. Its fields are written by the goroutine that
// serves the client only, except those below mu, which mu guards.
type session struct {
	acceptor     *Acceptor
	conn         net.Conn
	backend      *pgproto3.Backend
	process      uint32
	secret       uint32
	organisation string
	keyID        string
	database     string
	// route is the route of the present unit of work in a generation of the configuration.
	route      configurator.Route
	generation uint64

	// required is the log position that reads must include; it is not known if
	// requiredUnknown is set.
	required        tracker.Position
	requiredUnknown bool

	statements map[string]*preparedStatement
	portals    map[string]*preparedStatement
	batch      pooler.Batch
	readOnly   bool
	// readBounded reports whether a read deadline is set.
	readBounded     bool
	endsTransaction bool
	skippingToSync  bool
	status          byte
	output          []byte
	// writeDeadlineSet is the time at which the write deadline was last updated.
	writeDeadlineSet time.Time

	mu      sync.Mutex
	work    Work
	running bool
	// runningCommit reports that the running batch ends a transaction.
	runningCommit bool
	closeReason   *coder.Error
	graceTimer    *time.Timer
	cancelServe   context.CancelFunc
}

// newSession returns a session on a connection, before the start-up exchange.
func newSession(a *Acceptor, c net.Conn) *session {
	return &session{
		acceptor:        a,
		conn:            c,
		backend:         pgproto3.NewBackend(c, c),
		requiredUnknown: true,
		status:          'I',
	}
}

// serve serves the client until the connection ends.
func (s *session) serve(ctx context.Context) {
	defer s.cleanUp()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.cancelServe = cancel
	if err := s.startup(ctx); err != nil {
		s.reject(err)
		return
	}
	for {
		m, err := s.receive()
		if err != nil {
			s.reject(err)
			return
		}
		if !s.handleMessage(ctx, m) {
			return
		}
	}
}

// cleanUp releases the resources of the session.
func (s *session) cleanUp() {
	s.closeWork()
	_ = s.conn.Close()
	s.acceptor.removeSession(s)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.graceTimer != nil {
		s.graceTimer.Stop()
	}
}

// reject sends a fatal error to the client if err is a coded error; others, such
// as a lost connection, are not reported.
func (s *session) reject(err error) {
	var coded *coder.Error
	if !errors.As(err, &coded) {
		return
	}
	s.sendError(coded, "FATAL")
	_ = s.flush()
}

// receive returns the next message of the client. It returns the reason instead
// if the connection must be closed.
func (s *session) receive() (pgproto3.FrontendMessage, error) {
	if err := s.dueCloseReason(); err != nil {
		return nil, err
	}
	if err := s.boundIdleTransaction(); err != nil {
		return nil, err
	}
	m, err := s.backend.Receive()
	if err == nil {
		return m, nil
	}
	if reason := s.dueCloseReason(); reason != nil {
		return nil, reason
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, coder.New(coder.Draining, "the transaction was idle for too long and was rolled back")
	}
	return nil, classifyReceiveError(err)
}

// boundIdleTransaction sets a read deadline within a transaction and clears it
// after the transaction.
func (s *session) boundIdleTransaction() error {
	switch {
	case s.status != 'I':
		s.readBounded = true
		return s.conn.SetReadDeadline(time.Now().Add(s.acceptor.Settings.IdleTransactionTimeout))
	case s.readBounded:
		s.readBounded = false
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.closeReason != nil {
			return s.closeReason
		}
		return s.conn.SetReadDeadline(time.Time{})
	default:
		return nil
	}
}

// classifyReceiveError returns a coded error for a protocol error, and errors of the
// connection unchanged.
func classifyReceiveError(err error) error {
	var tooLarge *pgproto3.ExceededMaxBodyLenErr
	if errors.As(err, &tooLarge) {
		return coder.New(coder.MessageTooLarge, "the message is too large")
	}
	var network net.Error
	if errors.As(err, &network) || errors.Is(err, net.ErrClosed) || isDisconnect(err) {
		return err
	}
	return coder.New(coder.MessageUnsupported, "the message is malformed")
}

// dueCloseReason returns the reason to close the connection now, or nil. A withdrawn key does not
// wait for the end of a transaction.
func (s *session) dueCloseReason() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.closeReason == nil:
		return nil
	case s.status == 'I':
		return s.closeReason
	case s.closeReason.Code == coder.KeyWithdrawn:
		return coder.New(coder.KeyWithdrawn, "the key of this connection was withdrawn; the transaction is rolled back")
	default:
		return nil
	}
}

// holdsKey reports whether the key of the connection still belongs to its organisation.
func (s *session) holdsKey(index *configurator.Index) bool {
	if s.keyID == "" {
		return true
	}
	organisation, _, ok := index.Key(s.keyID)
	return ok && organisation == s.organisation
}

// currentRoute returns the route of the connection in a configuration; ok is false if the
// connection may not use it.
func (s *session) currentRoute(index *configurator.Index) (r configurator.Route, ok bool) {
	if s.keyID == "" {
		r, ok = index.State().Route(s.database)
		return r, ok && r.Open
	}
	return index.AllowedRoute(s.organisation, s.database)
}

// updateRoute checks the key and applies the present route of the database before a new unit of work. The log
// positions of another group say nothing about the session.
func (s *session) updateRoute() error {
	index := s.acceptor.Configuration.Index()
	if !s.holdsKey(index) {
		return coder.New(coder.KeyWithdrawn, "the key of this connection was withdrawn")
	}
	r, ok := s.currentRoute(index)
	if !ok {
		return coder.New(coder.RouteUnknown, "no database of that name is open to the key")
	}
	if r.Group != s.route.Group {
		s.required, s.requiredUnknown = tracker.Position{}, true
	}
	s.route, s.generation = r, index.Generation()
	return nil
}

// revoke closes the connection of a withdrawn key: after the running statement, which is cancelled
// after the grace period.
func (s *session) revoke(grace time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closeReason = coder.New(coder.KeyWithdrawn, "the key of this connection was withdrawn")
	if !s.running {
		_ = s.conn.SetReadDeadline(time.Unix(1, 0))
		return
	}
	if s.graceTimer == nil {
		s.graceTimer = time.AfterFunc(grace, s.breakOff)
	}
}

const (
	// cancelTimeout bounds a cancel request, after which a statement is given up without a response
	// of its endpoint.
	cancelTimeout = 500 * time.Millisecond
	// giveUpTimeout is how long a session has to tell its client that a statement was given up.
	giveUpTimeout = 500 * time.Millisecond
)

// breakOff cancels the running statement of a withdrawn key at its endpoint, whose response says what
// became of it. A commit is not cancelled.
func (s *session) breakOff() {
	ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
	defer stop()
	s.mu.Lock()
	commits := s.runningCommit
	s.graceTimer = time.AfterFunc(cancelTimeout, s.giveUp)
	s.mu.Unlock()
	if !commits {
		s.cancel(ctx)
	}
}

// giveUp ends a statement that was not cancelled in time, and the connection if the client does not
// take the response.
func (s *session) giveUp() {
	s.cancelServe()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.graceTimer = time.AfterFunc(giveUpTimeout, func() { _ = s.conn.Close() })
}

// drain closes the connection as soon as it is idle outside a transaction.
func (s *session) drain() {
	s.closeWhenIdle(coder.New(coder.Draining, "this VM is leaving; connect again").WithRetryAfter(time.Millisecond))
}

// closeWhenIdle closes the connection as soon as it is idle outside a transaction.
func (s *session) closeWhenIdle(reason *coder.Error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closeReason == nil {
		s.closeReason = reason
	}
	if !s.running && s.work == nil {
		_ = s.conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// cancel interrupts the running statement.
func (s *session) cancel(ctx context.Context) {
	s.mu.Lock()
	w, running := s.work, s.running
	s.mu.Unlock()
	if running && w != nil {
		_ = w.Cancel(ctx)
	}
}

// applyToken applies the required position of a session token to the session.
func (s *session) applyToken(token string) error {
	c, err := s.acceptor.Signer.Verify(s.acceptor.Clock.Now(), token)
	if err != nil {
		return err
	}
	if c.Organisation != s.organisation || c.Group != s.route.Group {
		return coder.New(coder.TokenForeign, "the session token belongs to another organisation or database")
	}
	if s.requiredUnknown || s.required.Before(c.Position) {
		s.required = c.Position
	}
	s.requiredUnknown = c.Unknown
	return nil
}

// newToken returns a signed token with the required position of the session.
func (s *session) newToken() string {
	return s.acceptor.Signer.Sign(signer.Claim{
		Organisation: s.organisation,
		Group:        s.route.Group,
		Position:     s.required,
		Unknown:      s.requiredUnknown,
		Issued:       s.acceptor.Clock.Now().UTC(),
	})
}

// closeWork closes the current unit of work, if any.
func (s *session) closeWork() {
	s.mu.Lock()
	w := s.work
	s.work = nil
	s.mu.Unlock()
	if w != nil {
		w.Close()
	}
}
