package sessioner

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/marigoldgauge/marigoldgauge/cataloguer"
	"github.com/marigoldgauge/marigoldgauge/clocker"
	"github.com/marigoldgauge/marigoldgauge/dispatcher"
)

// Server serves the callers of one VM. It is safe for concurrent use.
type Server struct {
	// Catalogue is the configuration in force.
	Catalogue *cataloguer.Holder
	// Runner runs statements.
	Runner Runner
	// Clock tells the present time.
	Clock clocker.Clock
	// Journal takes the decisions that touch a request.
	Journal dispatcher.Journal

	grace    atomic.Int64
	mu       sync.Mutex
	sessions map[*session]bool
	leaving  atomic.Bool
	close    atomic.Bool
	end      atomic.Pointer[time.Time]
	group    errgroup.Group
}

const (
	// closeAfter is the part of the grace after which idle sessions are closed:
	// by then the platform has noticed that the VM is leaving, so that callers
	// come back to another one.
	closeAfter = 0.4
	// transactionPart is the part of the grace that open transactions have.
	transactionPart = 0.5
	// lastPart is the part of the grace after which all else is cut.
	lastPart = 0.9
)

// Serve starts to serve a caller.
func (s *Server) Serve(ctx context.Context, c Caller) {
	ss := &session{server: s, caller: c, values: map[string]string{}, prepared: map[string]dispatcher.Definition{}}
	s.mu.Lock()
	if s.sessions == nil {
		s.sessions = map[*session]bool{}
	}
	s.sessions[ss] = true
	s.mu.Unlock()
	s.group.Go(func() error {
		defer func() {
			_ = c.Close()
			s.mu.Lock()
			delete(s.sessions, ss)
			s.mu.Unlock()
		}()
		ss.serve(ctx)
		return nil
	})
}

// SetGrace changes how long a stop may take in all.
func (s *Server) SetGrace(grace time.Duration) {
	s.grace.Store(int64(grace))
}

// Sessions returns the number of callers.
func (s *Server) Sessions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.sessions)
}

// Leaving reports whether the VM takes no more callers.
func (s *Server) Leaving() bool {
	return s.leaving.Load()
}

// closing reports whether sessions are closed as soon as they are idle.
func (s *Server) closing() bool {
	return s.close.Load()
}

// transactionsEnd returns until when open transactions may go on, once the VM is leaving.
func (s *Server) transactionsEnd() (time.Time, bool) {
	t := s.end.Load()
	if t == nil {
		return time.Time{}, false
	}
	return *t, true
}

// Drain lets callers finish, and what others have under way here, and returns
// when all have left, or the grace is nearly over.
func (s *Server) Drain(ctx context.Context, others func() int64) {
	began := time.Now()
	grace := s.grace.Load()
	part := func(p float64) time.Time { return began.Add(time.Duration(p * float64(grace))) }
	end := part(transactionPart)
	s.end.Store(&end)
	s.leaving.Store(true)
	s.interrupt()
	sleepUntil(ctx, part(closeAfter))
	s.close.Store(true)
	for time.Now().Before(part(lastPart)) && int64(s.Sessions())+others() > 0 && ctx.Err() == nil {
		s.interrupt()
		sleepUntil(ctx, time.Now().Add(drainStep))
	}
}

// drainStep is how often idle sessions are looked for while the VM is leaving.
const drainStep = 100 * time.Millisecond

// interrupt lets sessions that wait for a statement look up.
func (s *Server) interrupt() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for ss := range s.sessions {
		ss.caller.Interrupt()
	}
}

// sleepUntil waits until a time or the end of ctx.
func sleepUntil(ctx context.Context, at time.Time) {
	clocker.Sleep(ctx, time.Until(at))
}
