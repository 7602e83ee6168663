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

// remoteWork is a unit of work on another VM, on a stream of its own.
type remoteWork struct {
	router  *Router
	client  *Client
	vm      string
	address netip.AddrPort
	ask     pooler.WorkSpec

	// waitStart is the time since which a response is awaited, in nanoseconds;
	// zero means that none is awaited.
	waitStart atomic.Int64

	mu     sync.Mutex
	stream messenger.DRPCPeer_WorkClient
	cancel context.CancelFunc
	// ended reports whether the owner has ended the unit of work.
	ended bool
}

// Exchange runs one batch on the VM and forwards the response to the sink.
func (r *remoteWork) Exchange(ctx context.Context, b *pooler.Batch, sink pooler.Sink) (pooler.Result, error) {
	m := &messenger.WorkRequest{}
	if r.stream == nil {
		if err := r.open(ctx); err != nil {
			return pooler.Result{}, err
		}
		m.Ask = encodeAsk(r.ask)
	}
	encodeBatch(b, m)
	sent, err := r.client.remoteTime(ctx, r.address)
	if err != nil {
		return pooler.Result{}, err
	}
	m.Sent = encodeStamp(sent)
	r.waitStart.Store(r.router.clock.Now().UnixNano())
	defer r.waitStart.Store(0)
	if err := r.sendRequest(m); err != nil {
		return pooler.Result{}, eris.Wrap(err, "sending a batch to the owner of the pool")
	}
	for {
		reply, err := r.stream.Recv()
		if err != nil {
			return pooler.Result{}, eris.Wrap(err, "receiving the response of the owner of the pool")
		}
		if len(reply.GetFrames()) > 0 {
			if err := sink.WriteFrames(reply.GetFrames()); err != nil {
				return pooler.Result{}, err
			}
		}
		if end := reply.GetEnd(); end != nil {
			r.client.stamps.Add(r.router.clock.Now(), r.address, decodeStamp(end.GetStamp()))
			r.ended = end.GetCode() != 0 || end.GetTransactionStatus() == 'I'
			return decodeEnd(end)
		}
	}
}

// open opens the stream and tracks the unit of work in the router.
func (r *remoteWork) open(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	stream, err := r.client.peerClient(ctx, r.address).Work(ctx)
	if err != nil {
		cancel()
		return unreachableError{err}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stream, r.cancel = stream, cancel
	r.router.track(r)
	return nil
}

// waitedFor returns the time for which a response has been awaited.
func (r *remoteWork) waitedFor(now time.Time) time.Duration {
	since := r.waitStart.Load()
	if since == 0 {
		return 0
	}
	return time.Duration(now.UnixNano() - since)
}

// sendRequest sends a request on the stream.
func (r *remoteWork) sendRequest(m *messenger.WorkRequest) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stream.Send(m)
}

// Close closes the stream. The owner rolls back an open transaction.
func (r *remoteWork) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stream == nil {
		return
	}
	r.router.untrack(r)
	_ = r.stream.Close()
	if r.ended {
		time.AfterFunc(streamCancelDelay, r.cancel)
		return
	}
	r.cancel()
}

// streamCancelDelay is the delay before the context of a stream is cancelled
// whose unit of work has ended. Cancelling closes the connection of the stream,
// which the pool may already have reused for another stream.
const streamCancelDelay = time.Second

// Cancel interrupts the running batch.
func (r *remoteWork) Cancel(context.Context) error {
	r.mu.Lock()
	open := r.stream != nil
	r.mu.Unlock()
	if !open {
		return nil
	}
	return r.sendRequest(&messenger.WorkRequest{Cancel: true})
}
