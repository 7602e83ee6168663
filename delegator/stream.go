package delegator

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"storj.io/drpc"

	"github.com/marigoldgauge/marigoldgauge/dispatcher"
)

const (
	// pingInterval is the interval at which a holder is pinged while a response is
	// pending: longer than most statements take.
	pingInterval = 250 * time.Millisecond
	// cancelDelay is the delay before the context of a successful stream is
	// cancelled. An earlier cancel would close its connection, which may already
	// be in use by another stream.
	cancelDelay = time.Second
)

// stream is a unit of work in progress at a holder.
type stream struct {
	delegator *Delegator
	address   netip.AddrPort
	rpc       drpc.Stream
	cancel    context.CancelFunc
	once      sync.Once
}

// sendFirst sends the first request of a unit of work, and ends the stream unless
// the request opened a transaction.
func (s *stream) sendFirst(op operation, u dispatcher.Unit) (r response, err error) {
	now := s.delegator.clock.Now()
	elapsed := now.Sub(u.StartedAt)
	ctx, cancel := context.WithTimeout(context.Background(), max(u.Route.Timeout-elapsed, 0))
	defer cancel()
	retryable := !u.Writes || op == opBegin
	sent, _ := s.delegator.timestamps.Advanced(now, s.address)
	r, err = s.exchangeWithPings(ctx, retryable, request{Operation: op, Unit: newWireUnit(u, elapsed), Sent: sent, Claim: u.Grant.Claim()})
	if err != nil || !r.Open {
		s.release(err == nil)
	}
	return r, err
}

// exchangeWithPings sends a request and pings the holder while the response is pending.
// A request that is safe to retry is cancelled when a ping fails.
func (s *stream) exchangeWithPings(ctx context.Context, retryable bool, req request) (response, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan struct{})
	defer close(done)
	s.delegator.background.Go(func() error {
		ticker := time.NewTicker(pingInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
			case <-done:
				return nil
			}
			if err := s.delegator.ping(ctx, s.address); err != nil && retryable && ctx.Err() == nil {
				cancel()
				return nil
			}
		}
	})
	return s.exchange(ctx, req)
}

// errResponseTimeout means that a holder did not respond before the deadline.
var errResponseTimeout = eris.New("the holder did not respond in time")

// exchange sends a request and waits for its response. The stream must not be used
// after an error.
func (s *stream) exchange(ctx context.Context, req request) (r response, err error) {
	cancelled := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		s.cancel()
		close(cancelled)
	})
	err = s.rpc.MsgSend(&req, cborEncoding{})
	if err == nil {
		err = s.rpc.MsgRecv(&r, cborEncoding{})
	}
	if !stop() {
		<-cancelled
		if err == nil {
			err = errResponseTimeout
		}
	}
	if err != nil {
		return r, errors.Join(eris.Wrap(err, "sending a request to a holder"), ctx.Err())
	}
	s.delegator.timestamps.Add(s.delegator.clock.Now(), s.address, r.Timestamp)
	return r, nil
}

// release releases the stream; its connection returns to the pool after a success.
func (s *stream) release(reusable bool) {
	s.once.Do(func() {
		if !reusable {
			s.cancel()
			return
		}
		// On an error the stream closes with its connection.
		_ = s.rpc.Close()
		time.AfterFunc(cancelDelay, s.cancel)
	})
}
