package forwarder

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/marigoldgauge/marigoldgauge/messenger"
	"github.com/marigoldgauge/marigoldgauge/pooler"
)

// remote is a unit of work at another VM, on a stream of its own.
type remote struct {
	router *Router
	caller *Caller
	vm     string
	to     netip.AddrPort
	ask    pooler.Ask

	// since is when the wait for an answer began, in nanoseconds; zero is no wait.
	since atomic.Int64

	mu     sync.Mutex
	stream messenger.DRPCPeer_WorkClient
	cancel context.CancelFunc
	// ended reports that the owner has ended the unit of work.
	ended bool
}

// Exchange runs one batch.
func (r *remote) Exchange(ctx context.Context, b *pooler.Batch, sink pooler.Sink) (pooler.Result, error) {
	m := &messenger.WorkRequest{}
	if r.stream == nil {
		if err := r.open(ctx); err != nil {
			return pooler.Result{}, err
		}
		m.Ask = askOut(r.ask)
	}
	batchOut(b, m)
	sent, err := r.caller.present(ctx, r.to)
	if err != nil {
		return pooler.Result{}, err
	}
	m.Sent = stampOut(sent)
	r.since.Store(r.router.clock.Now().UnixNano())
	defer r.since.Store(0)
	if err := r.send(m); err != nil {
		return pooler.Result{}, eris.Wrap(err, "sending a batch to the owner")
	}
	for {
		reply, err := r.stream.Recv()
		if err != nil {
			return pooler.Result{}, eris.Wrap(err, "receiving the answer of the owner")
		}
		if len(reply.GetFrames()) > 0 {
			if err := sink.Frames(reply.GetFrames()); err != nil {
				return pooler.Result{}, err
			}
		}
		if end := reply.GetEnd(); end != nil {
			r.caller.stamps.Add(r.router.clock.Now(), r.to, stampIn(end.GetStamp()))
			r.ended = end.GetCode() != 0 || end.GetTransactionStatus() == 'I'
			return endIn(end)
		}
	}
}

// open opens the stream.
func (r *remote) open(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	stream, err := r.caller.client(ctx, r.to).Work(ctx)
	if err != nil {
		cancel()
		return unreachable{err}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stream, r.cancel = stream, cancel
	r.router.enter(r)
	return nil
}

// waitedFor returns how long an answer has been waited for.
func (r *remote) waitedFor(now time.Time) time.Duration {
	since := r.since.Load()
	if since == 0 {
		return 0
	}
	return time.Duration(now.UnixNano() - since)
}

// send sends a message on the stream.
func (r *remote) send(m *messenger.WorkRequest) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stream.Send(m)
}

// Close ends the stream; the owner rolls an open transaction back.
func (r *remote) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stream == nil {
		return
	}
	r.router.leave(r)
	_ = r.stream.Close()
	if r.ended {
		time.AfterFunc(cancelAfter, r.cancel)
		return
	}
	r.cancel()
}

// cancelAfter is the wait before the context of a stream that ended well is
// freed: a cancel closes the connection of the stream, which by then is in use
// again for another one.
const cancelAfter = time.Second

// Cancel interrupts the running batch.
func (r *remote) Cancel(context.Context) error {
	r.mu.Lock()
	open := r.stream != nil
	r.mu.Unlock()
	if !open {
		return nil
	}
	return r.send(&messenger.WorkRequest{Cancel: true})
}
