// Package acceptor accepts client connections and serves them: it speaks the
// PostgreSQL protocol, authenticates the clients, tracks the log position that
// the reads of each session must include, and runs the statements as units of
// work.
package acceptor

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"hash/fnv"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/marigoldgauge/marigoldgauge/coder"
)

// Acceptor serves the clients of one VM.
//
// An Acceptor is safe for concurrent use.
type Acceptor struct {
	Dependencies

	lastClientID atomic.Uint32
	busy         atomic.Int64
	mu           sync.Mutex
	sessions     map[uint32]*session
	draining     bool
	counters     Counters
}

// New returns an Acceptor without clients.
func New(p Dependencies) *Acceptor {
	return &Acceptor{Dependencies: p, sessions: map[uint32]*session{}}
}

// Serve accepts and serves clients until ctx ends, and then closes the remaining
// connections.
func (a *Acceptor) Serve(ctx context.Context, l net.Listener) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		<-ctx.Done()
		_ = l.Close()
		a.closeAll()
		return nil
	})
	group.Go(func() error { return a.closeRevoked(ctx) })
	group.Go(func() error {
		for {
			c, err := l.Accept()
			if err != nil {
				return nil
			}
			group.Go(func() error {
				newSession(a, c).serve(ctx)
				return nil
			})
		}
	})
	return group.Wait()
}

// ClientCount returns the number of connected clients.
func (a *Acceptor) ClientCount() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.sessions)
}

// ClientsByOrganisation returns the number of connected clients by organisation.
func (a *Acceptor) ClientsByOrganisation() map[string]int {
	a.mu.Lock()
	defer a.mu.Unlock()
	counts := map[string]int{}
	for _, s := range a.sessions {
		counts[s.organisation]++
	}
	return counts
}

const (
	// vmBits is the number of bits of a process ID that identify the VM.
	vmBits = 12
	// clientBits is the number of bits of a process ID that number the clients of one VM.
	clientBits = 32 - vmBits
)

// VMTag returns the bits of a process ID that identify a VM.
func VMTag(vm string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(vm))
	return h.Sum32() >> clientBits
}

// IssuedByVM reports whether a process ID was issued by a VM.
func IssuedByVM(process uint32, vm string) bool {
	return process>>clientBits == VMTag(vm)
}

// addSession adds a session and assigns a process ID and a secret to it. It
// reports false while the VM is draining or at its connection limit.
func (a *Acceptor) addSession(s *session) bool {
	var raw [4]byte
	_, _ = rand.Read(raw[:])
	s.secret = binary.BigEndian.Uint32(raw[:])
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.draining || (a.Settings.MaxClients > 0 && len(a.sessions) >= a.Settings.MaxClients) {
		return false
	}
	for {
		s.process = VMTag(a.Settings.VM)<<clientBits | a.lastClientID.Add(1)&(1<<clientBits-1)
		if a.sessions[s.process] == nil {
			break
		}
	}
	a.sessions[s.process] = s
	return true
}

// removeSession removes a session if it was added.
func (a *Acceptor) removeSession(s *session) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.sessions[s.process] == s {
		delete(a.sessions, s.process)
	}
}

// listSessions returns the sessions of the connected clients.
func (a *Acceptor) listSessions() []*session {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := make([]*session, 0, len(a.sessions))
	for _, s := range a.sessions {
		out = append(out, s)
	}
	return out
}

// closeAll closes the connections of all clients.
func (a *Acceptor) closeAll() {
	for _, s := range a.listSessions() {
		_ = s.conn.Close()
	}
}

// closeRevoked closes the connections that the configuration no longer permits, until ctx ends:
// those of a withdrawn key at once, those of a route that has gone after their transaction.
func (a *Acceptor) closeRevoked(ctx context.Context) error {
	for {
		changed := a.Configuration.Changed()
		index := a.Configuration.Index()
		for _, s := range a.listSessions() {
			if !s.holdsKey(index) {
				s.revoke(a.Settings.WithdrawGrace)
			} else if _, ok := s.currentRoute(index); !ok {
				s.closeWhenIdle(coder.New(coder.RouteUnknown, "the database is no longer open to this connection"))
			}
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}

// Drain stops accepting clients, lets running statements and transactions
// finish, and disconnects idle clients with an error that tells them to
// reconnect. It returns when all clients are disconnected or ctx ends.
func (a *Acceptor) Drain(ctx context.Context) {
	a.mu.Lock()
	a.draining = true
	a.mu.Unlock()
	ticker := time.NewTicker(drainInterval)
	defer ticker.Stop()
	for {
		sessions := a.listSessions()
		if len(sessions) == 0 {
			return
		}
		for _, s := range sessions {
			s.drain()
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// drainInterval is the interval at which the remaining sessions are drained again.
const drainInterval = 50 * time.Millisecond

// Cancel interrupts the running statement of a client. It reports whether the
// process ID and secret match a session.
func (a *Acceptor) Cancel(ctx context.Context, process, secret uint32) bool {
	a.mu.Lock()
	s := a.sessions[process]
	a.mu.Unlock()
	if s == nil || s.secret != secret {
		return false
	}
	s.cancel(ctx)
	return true
}
