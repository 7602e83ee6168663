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
	"github.com/marigoldgauge/marigoldgauge/governor"
	"github.com/marigoldgauge/marigoldgauge/pooler"
	"github.com/marigoldgauge/marigoldgauge/signer"
	"github.com/marigoldgauge/marigoldgauge/tracker"
)

// session is one connected caller. Its fields belong to the goroutine that
// serves it, but for those under the lock.
type session struct {
	acceptor     *Acceptor
	conn         net.Conn
	backend      *pgproto3.Backend
	process      uint32
	secret       uint32
	organisation string
	key          string
	route        governor.Route

	// required is the position that reads must see; unknown means that it is not known.
	required tracker.Position
	unknown  bool

	statements map[string]*statement
	portals    map[string]*statement
	batch      pooler.Batch
	readOnly   bool
	// bounded reports that the wait for the next message is bounded.
	bounded  bool
	ending   bool
	skipping bool
	status   byte
	out      []byte
	// deadlineSet is when the bound of a write was last set.
	deadlineSet time.Time

	mu        sync.Mutex
	work      Work
	running   bool
	farewell  *coder.Error
	grace     *time.Timer
	cancelled context.CancelFunc
}

// newSession returns a session that has not started.
func newSession(a *Acceptor, c net.Conn) *session {
	return &session{
		acceptor: a,
		conn:     c,
		backend:  pgproto3.NewBackend(c, c),
		unknown:  true,
		status:   'I',
	}
}

// serve serves the caller until it goes away.
func (s *session) serve(ctx context.Context) {
	defer s.end()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.cancelled = cancel
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
		if !s.handle(ctx, m) {
			return
		}
	}
}

// end frees what the session holds.
func (s *session) end() {
	s.closeWork()
	_ = s.conn.Close()
	s.acceptor.unregister(s)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.grace != nil {
		s.grace.Stop()
	}
}

// reject tells the caller why the connection ends, where there is something to tell.
func (s *session) reject(err error) {
	var coded *coder.Error
	if !errors.As(err, &coded) {
		return
	}
	s.sendError(coded, "FATAL")
	_ = s.flush()
}

// receive waits for the next message.
func (s *session) receive() (pgproto3.FrontendMessage, error) {
	if err := s.parting(); err != nil {
		return nil, err
	}
	if err := s.boundIdleTransaction(); err != nil {
		return nil, err
	}
	m, err := s.backend.Receive()
	if err == nil {
		return m, nil
	}
	if parting := s.parting(); parting != nil {
		return nil, parting
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, coder.New(coder.Draining, "the transaction was idle for too long and was rolled back")
	}
	return nil, receiveError(err)
}

// boundIdleTransaction bounds the wait for the next message of a transaction,
// and lifts the bound after it.
func (s *session) boundIdleTransaction() error {
	switch {
	case s.status != 'I':
		s.bounded = true
		return s.conn.SetReadDeadline(time.Now().Add(s.acceptor.Settings.IdleTransactionTimeout))
	case s.bounded:
		s.bounded = false
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.farewell != nil {
			return s.farewell
		}
		return s.conn.SetReadDeadline(time.Time{})
	default:
		return nil
	}
}

// receiveError gives an error of the protocol its code.
func receiveError(err error) error {
	var long *pgproto3.ExceededMaxBodyLenErr
	if errors.As(err, &long) {
		return coder.New(coder.MessageTooLarge, "the message is too large")
	}
	var network net.Error
	if errors.As(err, &network) || errors.Is(err, net.ErrClosed) || isEnd(err) {
		return err
	}
	return coder.New(coder.MessageUnsupported, "the message is malformed")
}

// parting returns why the connection must end now, or nil. Within a
// transaction a drain waits, a withdrawal does not.
func (s *session) parting() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.farewell == nil || (s.farewell.Code == coder.Draining && s.status != 'I') {
		return nil
	}
	return s.farewell
}

// permitted reports whether the caller may go on under a configuration.
func (s *session) permitted(index *governor.Index) bool {
	if s.key == "" {
		r, ok := index.State().Route(s.route.Database)
		return ok && r.Open
	}
	organisation, _, ok := index.Key(s.key)
	if !ok || organisation != s.organisation {
		return false
	}
	_, ok = index.Allowed(organisation, s.route.Database)
	return ok
}

// withdraw ends the connection after the statement at hand, or after a grace.
func (s *session) withdraw(grace time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.farewell = coder.New(coder.KeyWithdrawn, "the key of this connection was withdrawn")
	if !s.running {
		_ = s.conn.SetReadDeadline(time.Unix(1, 0))
		return
	}
	if s.grace == nil {
		s.grace = time.AfterFunc(grace, func() {
			s.cancelled()
			_ = s.conn.Close()
		})
	}
}

// drain ends the connection once it is idle outside a transaction.
func (s *session) drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.farewell == nil {
		s.farewell = coder.New(coder.Draining, "this VM is leaving; connect again").After(time.Millisecond)
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

// takeToken makes the session see what a token says.
func (s *session) takeToken(token string) error {
	c, err := s.acceptor.Signer.Open(s.acceptor.Clock.Now(), token)
	if err != nil {
		return err
	}
	if c.Organisation != s.organisation || c.Group != s.route.Group {
		return coder.New(coder.TokenForeign, "the session token belongs to another organisation or database")
	}
	if s.unknown || s.required.Before(c.Position) {
		s.required = c.Position
	}
	s.unknown = c.Unknown
	return nil
}

// token returns the token of the session.
func (s *session) token() string {
	return s.acceptor.Signer.Seal(signer.Claim{
		Organisation: s.organisation,
		Group:        s.route.Group,
		Position:     s.required,
		Unknown:      s.unknown,
		Issued:       s.acceptor.Clock.Now().UTC(),
	})
}

// closeWork lets go of the unit of work at hand.
func (s *session) closeWork() {
	s.mu.Lock()
	w := s.work
	s.work = nil
	s.mu.Unlock()
	if w != nil {
		w.Close()
	}
}
