package sessioner

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/marigoldgauge/marigoldgauge/authorizer"
	"github.com/marigoldgauge/marigoldgauge/cataloguer"
	"github.com/marigoldgauge/marigoldgauge/dispatcher"
	"github.com/marigoldgauge/marigoldgauge/timekeeper"
)

// Server serves the clients of one VM. It is safe for concurrent use.
type Server struct {
	// Catalogue holds the active configuration.
	Catalogue *cataloguer.Holder
	// Authorizer ends the sessions of keys that the configuration no longer has.
	Authorizer *authorizer.Authorizer
	// Runner runs statements.
	Runner Runner
	// Clock returns the present time.
	Clock timekeeper.Clock
	// Journal logs the decisions about requests.
	Journal dispatcher.Journal

	grace             atomic.Int64
	mu                sync.Mutex
	sessions          map[*session]bool
	leaving           atomic.Bool
	closeIdle         atomic.Bool
	refusesFrom       atomic.Pointer[time.Time]
	transactionsUntil atomic.Pointer[time.Time]
	group             errgroup.Group
	retained          retainedBytes
}

const (
	// closeIdleFraction is the fraction of the grace period after which idle sessions are
	// closed. By then the platform has noticed that the VM is leaving, so clients
	// reconnect to another VM.
	closeIdleFraction = 0.4
	// transactionFraction is the fraction of the grace period after which open
	// transactions are rolled back.
	transactionFraction = 0.5
	// refuseFraction is the fraction of the grace period after which new sessions and statements
	// are refused: their response could be cut off by the end of the drain.
	refuseFraction = 0.7
	// drainFraction is the fraction of the grace period after which the drain ends and
	// the remaining sessions are cut off.
	drainFraction = 0.9
)

// Serve starts a session on a client connection and returns at once.
func (s *Server) Serve(ctx context.Context, c Client) {
	ss := &session{server: s, caller: c, values: map[string]string{}, prepared: map[string]dispatcher.PreparedStatement{}}
	s.mu.Lock()
	if s.sessions == nil {
		s.sessions = map[*session]bool{}
	}
	s.sessions[ss] = true
	s.mu.Unlock()
	s.group.Go(func() error {
		defer func() {
			_ = c.Close()
			s.retained.resize(ss.retained, -ss.retained)
			s.mu.Lock()
			delete(s.sessions, ss)
			s.mu.Unlock()
		}()
		ss.serve(ctx)
		return nil
	})
}

// SetGrace sets the grace period, the upper bound of a shutdown.
func (s *Server) SetGrace(grace time.Duration) {
	s.grace.Store(int64(grace))
}

// Sessions returns the number of open sessions.
func (s *Server) Sessions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.sessions)
}

// Leaving reports whether the VM is draining and accepts no new clients.
func (s *Server) Leaving() bool {
	return s.leaving.Load()
}

// closesIdle reports whether sessions are closed as soon as they are idle.
func (s *Server) closesIdle() bool {
	return s.closeIdle.Load()
}

// refusesWork reports whether the VM is so close to its end that it runs no new statements.
func (s *Server) refusesWork(now time.Time) bool {
	from := s.refusesFrom.Load()
	return from != nil && !now.Before(*from)
}

// transactionDeadline returns the deadline of open transactions; ok is false unless
// the VM is draining.
func (s *Server) transactionDeadline() (time.Time, bool) {
	t := s.transactionsUntil.Load()
	if t == nil {
		return time.Time{}, false
	}
	return *t, true
}

// Drain waits until all sessions have ended and others returns 0, the number of
// units of work that run here for other VMs, but no longer than the grace period
// allows.
func (s *Server) Drain(ctx context.Context, others func() int64) {
	startedAt := time.Now()
	grace := s.grace.Load()
	at := func(fraction float64) time.Time { return startedAt.Add(time.Duration(fraction * float64(grace))) }
	end := at(transactionFraction)
	s.transactionsUntil.Store(&end)
	refusesFrom := at(refuseFraction)
	s.refusesFrom.Store(&refusesFrom)
	s.leaving.Store(true)
	s.interruptSessions()
	sleepUntil(ctx, at(closeIdleFraction))
	s.closeIdle.Store(true)
	for time.Now().Before(at(drainFraction)) && int64(s.Sessions())+others() > 0 && ctx.Err() == nil {
		s.interruptSessions()
		sleepUntil(ctx, time.Now().Add(drainPollInterval))
	}
}

// drainPollInterval is the interval at which idle sessions are closed during a drain.
const drainPollInterval = 100 * time.Millisecond

// interruptSessions wakes the sessions that wait for a statement.
func (s *Server) interruptSessions() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for ss := range s.sessions {
		ss.caller.Interrupt()
	}
}

// sleepUntil waits until a time, or until ctx ends.
func sleepUntil(ctx context.Context, deadline time.Time) {
	timekeeper.Sleep(ctx, time.Until(deadline))
}
