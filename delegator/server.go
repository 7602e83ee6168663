package delegator

import (
	"context"
	"math"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
	"storj.io/drpc"
	"storj.io/drpc/drpcserver"

	"github.com/marigoldgauge/marigoldgauge/authorizer"
	"github.com/marigoldgauge/marigoldgauge/dispatcher"
	"github.com/marigoldgauge/marigoldgauge/modeller"
	"github.com/marigoldgauge/marigoldgauge/timekeeper"
	"github.com/marigoldgauge/marigoldgauge/timestamper"
)

// maxTransitTime is the longest time in transit of a request. An older one is
// refused, since the sender may have given it up and answered the client.
const maxTransitTime = 300 * time.Millisecond

// Runner runs the units of work on this VM.
type Runner interface {
	// RunAdmitted runs a single statement that has passed admission.
	RunAdmitted(ctx context.Context, u dispatcher.Unit) modeller.Response
	// OpenAdmitted begins a transaction that has passed admission; if the transaction is
	// nil, the answer gives the reason.
	OpenAdmitted(ctx context.Context, u dispatcher.Unit) (dispatcher.Transaction, modeller.Response)
}

// Server runs the units of work of other VMs. It implements drpc.Handler.
type Server struct {
	runner     Runner
	authorizer *authorizer.Authorizer
	clock      timekeeper.Clock
	timestamps *timestamper.Issuer
	active     atomic.Int64
	leaving    atomic.Bool

	// background runs the rollbacks of transactions whose key has gone.
	background errgroup.Group
}

// NewServer returns a Server that runs units of work with a Runner for as long as an Authorizer
// confirms their claims.
func NewServer(r Runner, a *authorizer.Authorizer, c timekeeper.Clock) *Server {
	return &Server{runner: r, authorizer: a, clock: c, timestamps: timestamper.NewIssuer(rand.Uint64N(math.MaxUint64)+1, c.Now())}
}

// Serve accepts connections of other VMs until ctx ends.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	err := drpcserver.NewWithOptions(s, drpcserver.Options{Manager: managerOptions}).Serve(ctx, l)
	_ = s.background.Wait()
	if ctx.Err() != nil {
		return nil
	}
	return eris.Wrap(err, "serving units of work")
}

// StopAccepting makes the server refuse new units of work.
func (s *Server) StopAccepting() { s.leaving.Store(true) }

// Active returns the number of units of work in progress.
func (s *Server) Active() int64 { return s.active.Load() }

// HandleRPC serves one stream. It recovers from a panic in a unit of work, which
// ends that unit only.
func (s *Server) HandleRPC(stream drpc.Stream, _ string) (err error) {
	s.active.Add(1)
	defer s.active.Add(-1)
	e := &execution{server: s, turn: make(chan struct{}, 1)}
	defer func() {
		if p := recover(); p != nil {
			err = eris.Errorf("a unit of work failed: %v", p)
		}
		e.end()
	}()
	for {
		var req request
		if err := stream.MsgRecv(&req, cborEncoding{}); err != nil {
			return nil
		}
		r := e.handle(stream.Context(), req)
		r.Timestamp = s.timestamps.Issue(s.clock.Now())
		if err := stream.MsgSend(&r, cborEncoding{}); err != nil {
			return err
		}
		if !r.Open {
			return nil
		}
	}
}

// expired reports whether a request was in transit for longer than maxTransitTime, or
// for an unknown time.
func (s *Server) expired(now time.Time, req request) bool {
	age, ok := s.timestamps.Age(now, req.Sent)
	return !ok || age > maxTransitTime
}

// execution is the state of one unit of work.
type execution struct {
	server *Server

	// turn holds one element while a request, or the rollback of a transaction whose key has gone,
	// uses the fields below.
	turn        chan struct{}
	transaction dispatcher.Transaction
	grant       *authorizer.Grant
}

// refusal returns the response to a request that was not run.
func refusal(reason string) response {
	return response{Refused: true, Answer: wireAnswer{Result: modeller.Moved, Detail: reason}}
}

// handle executes one request.
func (e *execution) handle(ctx context.Context, req request) response {
	e.turn <- struct{}{}
	defer func() { <-e.turn }()
	s := e.server
	now := s.clock.Now()
	begins := req.Operation == opRun || req.Operation == opBegin
	switch {
	case req.Operation == opPing:
		return response{}
	case req.Operation != opRollback && s.expired(now, req):
		return refusal("the request was on its way for too long")
	case begins && s.leaving.Load():
		return refusal("the VM is leaving")
	case begins == (e.transaction != nil):
		return refusal("no such transaction")
	}
	if begins {
		e.grant = s.authorizer.Grant(req.Claim)
	}
	u := req.Unit.toUnit(now)
	u.Grant = e.grant
	switch req.Operation {
	case opRun:
		return response{Answer: newWireAnswer(s.runner.RunAdmitted(ctx, u))}
	case opBegin:
		t, a := s.runner.OpenAdmitted(ctx, u)
		if t == nil {
			return response{Answer: newWireAnswer(a)}
		}
		e.transaction = t
		e.grant.OnEnd(func() { s.background.Go(e.withdraw) })
		return response{Answer: newWireAnswer(a), Open: true, Instance: t.Instance()}
	case opExecute:
		a := e.transaction.Run(ctx, u)
		if a.State != modeller.InTransaction {
			e.transaction = nil
		}
		return response{Answer: newWireAnswer(a), Open: e.transaction != nil}
	case opCommit:
		t := e.transaction
		e.transaction = nil
		return response{Answer: newWireAnswer(t.Commit(ctx, u))}
	default:
		e.rollback()
		return response{}
	}
}

// withdraw rolls the open transaction back after the statement at hand, because its key has gone.
func (e *execution) withdraw() error {
	e.turn <- struct{}{}
	defer func() { <-e.turn }()
	e.rollback()
	return nil
}

// end rolls the open transaction back, if there is one, and releases the grant.
func (e *execution) end() {
	e.turn <- struct{}{}
	defer func() { <-e.turn }()
	e.rollback()
	e.grant.Release()
}

// rollback rolls the open transaction back, if there is one. The caller has the turn.
func (e *execution) rollback() {
	if e.transaction != nil {
		e.transaction.Rollback(context.Background())
		e.transaction = nil
	}
}
