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
	// pingAfter is the wait for an answer after which a holder is pinged: longer
	// than most statements take.
	pingAfter = 250 * time.Millisecond
	// cancelAfter is the wait before the context of a stream that ended well is
	// freed: a cancel closes its connection, which may be in use again.
	cancelAfter = time.Second
)

// stream is a unit of work under way at a holder.
type stream struct {
	d      *Delegator
	at     netip.AddrPort
	raw    drpc.Stream
	cancel context.CancelFunc
	once   sync.Once
}

// first sends the first request of a unit and ends the stream unless a
// transaction is open then.
func (s *stream) first(v verb, u dispatcher.Unit) (r reply, err error) {
	now := s.d.clock.Now()
	took := now.Sub(u.Began)
	ctx, cancel := context.WithTimeout(context.Background(), max(u.Route.Timeout-took, 0))
	defer cancel()
	again := !u.Writes || v == open
	present, _ := s.d.stamps.Present(now, s.at)
	r, err = s.watched(ctx, again, request{Verb: v, Unit: pack(u, took), Sent: present})
	if err != nil || !r.Open {
		s.end(err == nil)
	}
	return r, err
}

// watched sends a request and pings the holder while it keeps this VM waiting.
// What can be run again is given up once it does not answer.
func (s *stream) watched(ctx context.Context, again bool, q request) (reply, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan struct{})
	defer close(done)
	s.d.background.Go(func() error {
		ticker := time.NewTicker(pingAfter)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
			case <-done:
				return nil
			}
			if err := s.d.ping(ctx, s.at); err != nil && again && ctx.Err() == nil {
				cancel()
				return nil
			}
		}
	})
	return s.exchange(ctx, q)
}

// errAbandoned means that a holder did not answer in time.
var errAbandoned = eris.New("the holder did not answer in time")

// exchange sends a request and waits for its reply. After an error the stream
// is of no more use.
func (s *stream) exchange(ctx context.Context, q request) (r reply, err error) {
	abandoned := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		s.cancel()
		close(abandoned)
	})
	err = s.raw.MsgSend(&q, encoding{})
	if err == nil {
		err = s.raw.MsgRecv(&r, encoding{})
	}
	if !stop() {
		<-abandoned
		if err == nil {
			err = errAbandoned
		}
	}
	if err != nil {
		return r, errors.Join(eris.Wrap(err, "asking a holder"), ctx.Err())
	}
	s.d.stamps.Take(s.d.clock.Now(), s.at, r.Stamp)
	return r, nil
}

// end lets go of the stream; the connection is used again if it ended well.
func (s *stream) end(well bool) {
	s.once.Do(func() {
		if !well {
			s.cancel()
			return
		}
		// A stream that cannot be closed is closed with its connection.
		_ = s.raw.Close()
		time.AfterFunc(cancelAfter, s.cancel)
	})
}
