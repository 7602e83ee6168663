// Package sessioner keeps the sessions of callers: who they are, their values
// and prepared statements, and the transaction that they are in.
//
// What no instance need see is answered here: values, prepared statements, the
// beginning of a transaction, and its end when nothing was run in it.
package sessioner

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"github.com/marigoldgauge/marigoldgauge/cataloguer"
	"github.com/marigoldgauge/marigoldgauge/coder"
	"github.com/marigoldgauge/marigoldgauge/dispatcher"
	"github.com/marigoldgauge/marigoldgauge/journaler"
	"github.com/marigoldgauge/marigoldgauge/phraser"
	"github.com/marigoldgauge/marigoldgauge/tracker"
)

// ErrIdle means that no statement arrived in time.
var ErrIdle = eris.New("no statement arrived in time")

// errOver ends a session after its last answer.
var errOver = eris.New("the session is over")

const (
	// startupWithin bounds the start of a session; callers give up after 2 s.
	startupWithin = 5 * time.Second
	// lastLook is how long a session that is about to be closed is read for a
	// statement that is already on its way.
	lastLook = 5 * time.Millisecond
	// defaultIdle bounds the rest within a transaction where the configuration names no bound.
	defaultIdle = 3 * time.Second
)

// session is one caller's session.
type session struct {
	server   *Server
	caller   Caller
	database string
	key      string

	values   map[string]string
	prepared map[string]dispatcher.Definition
	position tracker.Position

	// pending is the transaction that the caller has begun and no instance has.
	pending *pendingTransaction
	running dispatcher.Transaction
	broken  bool
	// ending reports that the caller has rolled back and the instance has not.
	ending bool
	unit   dispatcher.Unit
}

// pendingTransaction is a transaction without a statement so far.
type pendingTransaction struct {
	readOnly bool
}

// serve serves the caller until it leaves or the VM does.
func (s *session) serve(ctx context.Context) {
	defer s.abandon(ctx)
	database, key, err := s.caller.Startup(time.Now().Add(startupWithin))
	if err != nil {
		return
	}
	s.database, s.key = database, key
	if _, _, refusal := s.resolve(""); refusal.Result != phraser.Done {
		_ = s.caller.Reject(refusal)
		return
	}
	if s.caller.Accept() != nil {
		return
	}
	for {
		st, err := s.receive()
		if err != nil {
			return
		}
		a, err := s.handle(ctx, st)
		if s.caller.Reply(a) != nil || err != nil {
			return
		}
		s.finish(ctx)
		if s.server.closing() && s.idle() {
			return
		}
	}
}

// idle reports whether the session is outside a transaction.
func (s *session) idle() bool {
	return s.pending == nil && s.running == nil && !s.broken
}

// receive waits for the next statement, and rolls a transaction back that rests for too long.
func (s *session) receive() (phraser.Statement, error) {
	for {
		until := s.restUntil()
		st, err := s.caller.Receive(until)
		if !errors.Is(err, ErrIdle) {
			return st, err
		}
		if s.idle() {
			if !s.server.closing() {
				continue
			}
			st, err = s.caller.Receive(time.Now().Add(lastLook))
			if errors.Is(err, ErrIdle) {
				return st, errOver
			}
			return st, err
		}
		if !time.Now().Before(until) {
			s.rest()
		}
	}
}

// restUntil returns until when the caller may rest.
func (s *session) restUntil() time.Time {
	if s.idle() || s.broken {
		return time.Time{}
	}
	if until, ok := s.server.transactionsEnd(); ok {
		return until
	}
	idle := defaultIdle
	if c := s.server.Catalogue.Current(); c != nil && c.TransactionIdle > 0 {
		idle = c.TransactionIdle
	}
	return time.Now().Add(idle)
}

// rest rolls back the transaction of a caller that rests for too long.
func (s *session) rest() {
	s.server.Journal.Request("abort", "", journaler.Code(coder.QueueTimeout),
		journaler.Reason("the transaction rested for too long"),
		journaler.F("database", s.database), journaler.Organisation(s.unit.Organisation))
	s.abandon(context.Background())
	s.pending, s.broken = nil, true
}

// abandon rolls back an open transaction.
func (s *session) abandon(ctx context.Context) {
	if s.running != nil {
		s.running.Rollback(context.WithoutCancel(ctx))
		s.running = nil
	}
}

// resolve finds the caller's route and organisation in the configuration in force.
func (s *session) resolve(id string) (cataloguer.Route, cataloguer.Organisation, phraser.Answer) {
	c := s.server.Catalogue.Current()
	if c == nil {
		return cataloguer.Route{}, cataloguer.Organisation{}, s.refuse(id, phraser.Busy, coder.SettingsInvalid, "no configuration is known yet")
	}
	route, ok := c.Route(s.database)
	if !ok {
		return route, cataloguer.Organisation{}, s.refuse(id, phraser.UnknownDatabase, coder.RouteUnknown, "no such database")
	}
	organisation, ok := c.Owner(s.key)
	if !ok && !route.Public {
		return route, organisation, s.refuse(id, phraser.UnknownKey, coder.KeyRefused, "the key is not known")
	}
	return route, organisation, phraser.Answer{}
}

// refuse writes an answer that promises that nothing was kept.
func (s *session) refuse(id string, r phraser.Result, code coder.Code, why string) phraser.Answer {
	s.server.Journal.Request("refuse", id, journaler.Code(code), journaler.F("database", s.database),
		journaler.Reason(why), journaler.Version(s.server.Catalogue.Version()),
		journaler.F("caller", s.caller.Remote()))
	return phraser.Refuse(r, code.String()+" "+why)
}

// begin binds the session to its route for one operation.
func (s *session) begin(id string) (phraser.Answer, error) {
	route, organisation, refusal := s.resolve(id)
	if refusal.Result != phraser.Done {
		return refusal, errOver
	}
	s.unit = dispatcher.Unit{Route: route, Organisation: organisation.Name, Began: s.server.Clock.Now(), Session: s.position}
	return phraser.Answer{}, nil
}
