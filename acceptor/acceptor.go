// Package acceptor serves the callers: it speaks the PostgreSQL protocol with
// them, checks their keys, keeps what their sessions must see, and hands their
// statements on as units of work.
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
)

// Acceptor serves the callers of one VM.
//
// An Acceptor is safe for concurrent use.
type Acceptor struct {
	Parts

	next     atomic.Uint32
	busy     atomic.Int64
	mu       sync.Mutex
	sessions map[uint32]*session
	draining bool
	counters Counters
}

// New returns an Acceptor without callers.
func New(p Parts) *Acceptor {
	return &Acceptor{Parts: p, sessions: map[uint32]*session{}}
}

// Serve accepts callers until ctx ends, and then breaks the rest off.
func (a *Acceptor) Serve(ctx context.Context, l net.Listener) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		<-ctx.Done()
		_ = l.Close()
		a.closeAll()
		return nil
	})
	group.Go(func() error { return a.enforce(ctx) })
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

// Callers returns the number of connected callers.
func (a *Acceptor) Callers() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.sessions)
}

// CallersOf returns the number of connected callers by organisation.
func (a *Acceptor) CallersOf() map[string]int {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := map[string]int{}
	for _, s := range a.sessions {
		out[s.organisation]++
	}
	return out
}

const (
	// vmBits is the number of bits of a process number that name the VM.
	vmBits = 12
	// counterBits is the number of bits that count the callers of one VM.
	counterBits = 32 - vmBits
)

// VMTag returns the bits by which a process number names its VM.
func VMTag(vm string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(vm))
	return h.Sum32() >> counterBits
}

// OfVM reports whether a process number was issued by a VM.
func OfVM(process uint32, vm string) bool {
	return process>>counterBits == VMTag(vm)
}

// register enters a caller and gives it a process number and a secret.
func (a *Acceptor) register(s *session) bool {
	var raw [4]byte
	_, _ = rand.Read(raw[:])
	s.secret = binary.BigEndian.Uint32(raw[:])
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.draining || (a.Settings.MaxCallers > 0 && len(a.sessions) >= a.Settings.MaxCallers) {
		return false
	}
	for {
		s.process = VMTag(a.Settings.VM)<<counterBits | a.next.Add(1)&(1<<counterBits-1)
		if a.sessions[s.process] == nil {
			break
		}
	}
	a.sessions[s.process] = s
	return true
}

// unregister removes a caller.
func (a *Acceptor) unregister(s *session) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.sessions[s.process] == s {
		delete(a.sessions, s.process)
	}
}

// all returns the connected callers.
func (a *Acceptor) all() []*session {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := make([]*session, 0, len(a.sessions))
	for _, s := range a.sessions {
		out = append(out, s)
	}
	return out
}

// closeAll breaks all callers off.
func (a *Acceptor) closeAll() {
	for _, s := range a.all() {
		_ = s.conn.Close()
	}
}

// enforce ends the connections whose key was withdrawn.
func (a *Acceptor) enforce(ctx context.Context) error {
	for {
		changed := a.Configuration.Changed()
		index := a.Configuration.Index()
		for _, s := range a.all() {
			if !s.permitted(index) {
				s.withdraw(a.Settings.WithdrawGrace)
			}
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}

// Drain takes no more callers, lets statements and transactions finish, and
// moves idle callers off with a clear message. It returns when all are gone or
// ctx ends.
func (a *Acceptor) Drain(ctx context.Context) {
	a.mu.Lock()
	a.draining = true
	a.mu.Unlock()
	ticker := time.NewTicker(drainEvery)
	defer ticker.Stop()
	for {
		sessions := a.all()
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

// drainEvery is the time between two looks at the callers that are left.
const drainEvery = 50 * time.Millisecond

// Cancel interrupts the statement of a caller and reports whether it was found.
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
