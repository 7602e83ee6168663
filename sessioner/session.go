// Package sessioner manages client sessions: their credentials, session values,
// prepared statements and transactions.
//
// Statements that need no instance are answered here: changes of session values
// and prepared statements, the begin of a transaction, and the rollback of a
// transaction in which nothing ran.
package sessioner

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/marigoldgauge/marigoldgauge/authorizer"
	"github.com/marigoldgauge/marigoldgauge/cataloguer"
	"github.com/marigoldgauge/marigoldgauge/coder"
	"github.com/marigoldgauge/marigoldgauge/dispatcher"
	"github.com/marigoldgauge/marigoldgauge/journaler"
	"github.com/marigoldgauge/marigoldgauge/modeller"
	"github.com/marigoldgauge/marigoldgauge/tracker"
)

// drainingReason is the reason of refusals by a VM that is about to end.
const drainingReason = "the VM is leaving"

// ErrNoStatement means that no statement arrived before the deadline or an interrupt.
var ErrNoStatement = eris.New("no statement arrived before the deadline")

// errSessionEnded ends a session after its last answer is sent.
var errSessionEnded = eris.New("the session has ended")

const (
	// startupTimeout bounds the startup of a session; clients give up after 2 s.
	startupTimeout = 5 * time.Second
	// finalReadTimeout bounds the last read of a session before it is closed, for a
	// statement that is already in transit.
	finalReadTimeout = 5 * time.Millisecond
	// maxKeyBytes is the maximum length of a key, which is kept for the life of the session.
	maxKeyBytes = 4 << 10
	// defaultIdleTimeout bounds the idle time within a transaction if the configuration
	// sets no bound.
	defaultIdleTimeout = 3 * time.Second
)

// session is the session of one client.
type session struct {
	server   *Server
	caller   Client
	database string
	key      string
	// grant permits the present unit of work, or the next one.
	grant *authorizer.Grant

	values   map[string]string
	prepared map[string]dispatcher.PreparedStatement
	position tracker.Position
	// retained is the total length of the values and the prepared statements, with their names.
	retained int64

	// pending is a transaction that the client has begun, but that is not yet begun
	// on an instance.
	pending     *pendingTransaction
	transaction dispatcher.Transaction
	failed      bool
	// rollbackPending reports that the client has rolled back, but the instance has not yet.
	rollbackPending bool
	unit            dispatcher.Unit
}

// pendingTransaction is a transaction in which no statement has run yet.
type pendingTransaction struct {
	readOnly bool
}

// serve runs the session until the client disconnects or the VM closes it.
func (s *session) serve(ctx context.Context) {
	defer func() {
		s.rollback(ctx)
		s.grant.Release()
	}()
	database, key, err := s.caller.ReadStartup(time.Now().Add(startupTimeout))
	if err != nil {
		return
	}
	// The texts are parts of the client's message, which would be kept with them.
	s.database, s.key = strings.Clone(database), strings.Clone(key[:min(len(key), maxKeyBytes)])
	if len(key) > maxKeyBytes {
		_ = s.caller.EndSession(s.refuse("", modeller.UnknownKey, coder.KeyRefused, "the key is too long"))
		return
	}
	if _, _, refusal := s.authorize(""); refusal.Result != modeller.Done {
		_ = s.caller.EndSession(refusal)
		return
	}
	if s.server.refusesWork(time.Now()) {
		_ = s.caller.EndSession(s.refuse("", modeller.Busy, coder.Draining, drainingReason))
		return
	}
	if s.caller.AcceptSession() != nil {
		return
	}
	for {
		st, err := s.receive(ctx)
		if err != nil {
			return
		}
		if s.idle() && s.server.refusesWork(time.Now()) {
			// The session ends with the response, so that the client opens its next one at another VM.
			_ = s.caller.Reply(s.refuse(st.ID, modeller.Busy, coder.Draining, drainingReason))
			return
		}
		a, err := s.handle(ctx, st)
		if s.caller.Reply(a) != nil || err != nil {
			return
		}
		s.finishRollback(ctx)
		if s.server.closesIdle() && s.idle() {
			return
		}
	}
}

// idle reports whether the session is outside a transaction.
func (s *session) idle() bool {
	return s.pending == nil && s.transaction == nil && !s.failed
}

// receive waits for the next statement. It rolls the transaction back when its
// idle time is over, and ends the session when its key has gone.
func (s *session) receive(ctx context.Context) (modeller.Statement, error) {
	for {
		if s.endWithdrawn(ctx) {
			return modeller.Statement{}, errSessionEnded
		}
		deadline := s.receiveDeadline()
		st, err := s.caller.Receive(deadline)
		if !errors.Is(err, ErrNoStatement) {
			return st, err
		}
		if s.idle() {
			if !s.server.closesIdle() {
				continue
			}
			st, err = s.caller.Receive(time.Now().Add(finalReadTimeout))
			if errors.Is(err, ErrNoStatement) {
				return st, errSessionEnded
			}
			return st, err
		}
		if !time.Now().Before(deadline) {
			s.abortIdle()
		}
	}
}

// receiveDeadline returns the deadline of the next statement; the zero time means none.
func (s *session) receiveDeadline() time.Time {
	if s.idle() || s.failed {
		return time.Time{}
	}
	if deadline, ok := s.server.transactionDeadline(); ok {
		return deadline
	}
	return time.Now().Add(s.idleTimeout())
}

// idleTimeout returns the bound of the idle time within a transaction.
func (s *session) idleTimeout() time.Duration {
	if c := s.server.Catalogue.Current(); c != nil && c.TransactionIdleTimeout > 0 {
		return c.TransactionIdleTimeout
	}
	return defaultIdleTimeout
}

// abortIdle rolls back a transaction that was idle for too long.
func (s *session) abortIdle() {
	s.server.Journal.Request("abort", "", journaler.Code(coder.QueueTimeout),
		journaler.Reason("the transaction was idle for too long"),
		journaler.F("database", s.database), journaler.Organisation(s.unit.Organisation))
	s.rollback(context.Background())
	s.pending, s.failed = nil, true
}

// rollback rolls the open transaction back, if there is one.
func (s *session) rollback(ctx context.Context) {
	if s.transaction != nil {
		s.transaction.Rollback(context.WithoutCancel(ctx))
		s.transaction = nil
	}
}

// resolve looks up the client's route and organisation in the active configuration.
func (s *session) resolve(id string) (cataloguer.Route, authorizer.Claim, modeller.Response) {
	c := s.server.Catalogue.Current()
	if c == nil {
		return cataloguer.Route{}, authorizer.Claim{}, s.refuse(id, modeller.Busy, coder.SettingsInvalid, "no configuration is known yet")
	}
	route, ok := c.Route(s.database)
	if !ok {
		return route, authorizer.Claim{}, s.refuse(id, modeller.UnknownDatabase, coder.RouteUnknown, "no such database")
	}
	organisation, ok := c.OrganisationOf(s.key)
	if !ok && !route.Public {
		return route, authorizer.Claim{}, s.refuse(id, modeller.UnknownKey, coder.KeyRefused, "the key is not known")
	}
	return route, authorizer.Claim{Key: s.key, Organisation: organisation.Name, Public: route.Public, Version: c.Version}, modeller.Response{}
}

// refuse logs a refusal and returns its answer, which guarantees that no change
// was stored.
func (s *session) refuse(id string, r modeller.Result, code coder.Code, reason string) modeller.Response {
	s.server.Journal.Request("refuse", id, journaler.Code(code), journaler.F("database", s.database),
		journaler.Reason(reason), journaler.Version(s.server.Catalogue.Version()),
		journaler.F("caller", s.caller.RemoteAddress()))
	return modeller.NewErrorResponse(r, code.String()+" "+reason)
}

// prepareUnit resolves the route anew and prepares the unit of work of one operation.
func (s *session) prepareUnit(id string) (modeller.Response, error) {
	route, organisation, refusal := s.authorize(id)
	if refusal.Result != modeller.Done {
		return refusal, errSessionEnded
	}
	s.unit = dispatcher.Unit{Route: route, Organisation: organisation, Grant: s.grant, StartedAt: s.server.Clock.Now(), LastCommit: s.position}
	return modeller.Response{}, nil
}
