package authorizer

import (
	"context"
	"sync"

	"github.com/rotisserie/eris"
)

// ErrEnded is the cause of contexts that end with their Grant.
var ErrEnded = eris.New("the key no longer belongs to the organisation")

// Grant is the permission of one client to act for an organisation. A nil Grant is a permission
// that does not depend on a key and never ends. It is safe for concurrent use.
type Grant struct {
	authorizer *Authorizer
	claim      Claim
	done       chan struct{}

	mu       sync.Mutex
	next     int
	handlers map[int]func()
}

// newGrant returns a Grant that has not ended.
func newGrant(a *Authorizer, c Claim) *Grant {
	return &Grant{authorizer: a, claim: c, done: make(chan struct{}), handlers: map[int]func(){}}
}

// Claim returns what the Grant is based on; the zero Claim if it does not depend on a key.
func (g *Grant) Claim() Claim {
	if g == nil {
		return Claim{}
	}
	return g.claim
}

// Ended reports whether the key has gone.
func (g *Grant) Ended() bool {
	if g == nil {
		return false
	}
	select {
	case <-g.done:
		return true
	default:
		return false
	}
}

// OnEnd calls f once when the Grant ends, or at once if it has ended. f must not block. The
// function that is returned removes f unless it was called.
func (g *Grant) OnEnd(f func()) (remove func()) {
	if g == nil {
		return func() {}
	}
	g.mu.Lock()
	if g.Ended() {
		g.mu.Unlock()
		f()
		return func() {}
	}
	n := g.next
	g.next++
	g.handlers[n] = f
	g.mu.Unlock()
	return func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		delete(g.handlers, n)
	}
}

// Bind returns a context that ends with ctx or with the Grant, for waits before a statement is sent.
func (g *Grant) Bind(ctx context.Context) (context.Context, context.CancelFunc) {
	if g == nil {
		return ctx, func() {}
	}
	bound, cancel := context.WithCancelCause(ctx)
	remove := g.OnEnd(func() { cancel(ErrEnded) })
	return bound, func() {
		remove()
		cancel(nil)
	}
}

// Release gives the Grant back. It does not end any more.
func (g *Grant) Release() {
	if g != nil {
		g.authorizer.remove(g)
	}
}

// end ends the Grant and calls its handlers.
func (g *Grant) end() {
	g.mu.Lock()
	close(g.done)
	handlers := g.handlers
	g.handlers = map[int]func(){}
	g.mu.Unlock()
	for _, f := range handlers {
		f()
	}
}
