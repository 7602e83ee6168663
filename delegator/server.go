package delegator

import (
	"context"
	"math"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"storj.io/drpc"
	"storj.io/drpc/drpcserver"

	"github.com/marigoldgauge/marigoldgauge/clocker"
	"github.com/marigoldgauge/marigoldgauge/dater"
	"github.com/marigoldgauge/marigoldgauge/dispatcher"
	"github.com/marigoldgauge/marigoldgauge/phraser"
)

// transitMost is the time after which a request on its way is refused: its VM
// may have given it up, and its caller gone on.
const transitMost = 300 * time.Millisecond

// Runner runs units of work on this VM.
type Runner interface {
	// Serve runs a single statement that was admitted.
	Serve(ctx context.Context, u dispatcher.Unit) phraser.Answer
	// Begin begins a transaction that was admitted; without one the answer tells why.
	Begin(ctx context.Context, u dispatcher.Unit) (dispatcher.Transaction, phraser.Answer)
}

// Server runs the units of work of other VMs. It implements drpc.Handler.
type Server struct {
	runner  Runner
	clock   clocker.Clock
	issuer  *dater.Issuer
	active  atomic.Int64
	leaving atomic.Bool
}

// NewServer returns a Server that lets a runner do the work.
func NewServer(r Runner, c clocker.Clock) *Server {
	return &Server{runner: r, clock: c, issuer: dater.NewIssuer(rand.Uint64N(math.MaxUint64)+1, c.Now())}
}

// Serve serves other VMs until ctx ends.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	err := drpcserver.New(s).Serve(ctx, l)
	if ctx.Err() != nil {
		return nil
	}
	return eris.Wrap(err, "serving units of work")
}

// Leave refuses new units of work from now on.
func (s *Server) Leave() { s.leaving.Store(true) }

// Active returns the number of units of work under way.
func (s *Server) Active() int64 { return s.active.Load() }

// HandleRPC serves one stream. A panic in a unit of work ends the unit, not the process.
func (s *Server) HandleRPC(stream drpc.Stream, _ string) (err error) {
	s.active.Add(1)
	defer s.active.Add(-1)
	w := &work{server: s}
	defer func() {
		if p := recover(); p != nil {
			err = eris.Errorf("a unit of work failed: %v", p)
		}
		w.abandon()
	}()
	for {
		var q request
		if err := stream.MsgRecv(&q, encoding{}); err != nil {
			return nil
		}
		r := w.handle(stream.Context(), q)
		r.Stamp = s.issuer.Issue(s.clock.Now())
		if err := stream.MsgSend(&r, encoding{}); err != nil {
			return err
		}
		if !r.Open {
			return nil
		}
	}
}

// late reports whether a request was on its way for so long that its VM may
// have given it up.
func (s *Server) late(now time.Time, q request) bool {
	age, ok := s.issuer.Age(now, q.Sent)
	return !ok || age > transitMost
}

// work is one unit of work.
type work struct {
	server      *Server
	transaction dispatcher.Transaction
}

// refused is the reply of a holder that did not try.
func refused(why string) reply {
	return reply{Refused: true, Answer: answer{Result: phraser.Moved, Detail: why}}
}

// handle does what one request asks for.
func (w *work) handle(ctx context.Context, q request) reply {
	s := w.server
	now := s.clock.Now()
	begins := q.Verb == run || q.Verb == open
	switch {
	case q.Verb == ping:
		return reply{}
	case q.Verb != rollback && s.late(now, q):
		return refused("the request was on its way for too long")
	case begins && s.leaving.Load():
		return refused("the VM is leaving")
	case begins == (w.transaction != nil):
		return refused("no such transaction")
	}
	u := q.Unit.unpack(now)
	switch q.Verb {
	case run:
		return reply{Answer: packAnswer(s.runner.Serve(ctx, u))}
	case open:
		t, a := s.runner.Begin(ctx, u)
		if t == nil {
			return reply{Answer: packAnswer(a)}
		}
		w.transaction = t
		return reply{Answer: packAnswer(a), Open: true, Instance: t.Instance()}
	case proceed:
		a := w.transaction.Run(ctx, u)
		if a.State != phraser.InTransaction {
			w.transaction = nil
		}
		return reply{Answer: packAnswer(a), Open: w.transaction != nil}
	case commit:
		t := w.transaction
		w.transaction = nil
		return reply{Answer: packAnswer(t.Commit(ctx, u))}
	default:
		w.abandon()
		return reply{}
	}
}

// abandon rolls back an open transaction.
func (w *work) abandon() {
	if w.transaction != nil {
		w.transaction.Rollback(context.Background())
		w.transaction = nil
	}
}
