package endpointfaker

import (
	"context"
	"net"

	"golang.org/x/sync/errgroup"
)

// Serve accepts connections until ctx is cancelled, and then closes all of them.
func (i *Instance) Serve(ctx context.Context, l net.Listener) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		<-ctx.Done()
		_ = l.Close()
		i.closeSessions()
		return nil
	})
	group.Go(func() error {
		for {
			c, err := l.Accept()
			if err != nil {
				return nil
			}
			group.Go(func() error {
				newSession(i, c).serve()
				return nil
			})
		}
	})
	return group.Wait()
}

// closeSessions closes the connections of all sessions.
func (i *Instance) closeSessions() {
	i.mu.Lock()
	defer i.mu.Unlock()
	for s := range i.sessions {
		s.close()
	}
}

// register registers a new session. It returns an error if the connection limit is
// reached or the session's pool epoch is outdated.
func (i *Instance) register(s *session) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	if limit := i.group.options.MaxConnections; limit > 0 && len(i.sessions) >= limit {
		return newPgError("53300", "too many connections")
	}
	if s.epoch != 0 && s.epoch < i.poolEpoch {
		return newPgError("57P01", "a later owner of the pool is in force")
	}
	i.sessions[s] = struct{}{}
	n := i.connections.Add(1)
	i.peakConnections.Store(max(i.peakConnections.Load(), n))
	return nil
}

// unregister removes a session that ended.
func (i *Instance) unregister(s *session) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if _, ok := i.sessions[s]; ok {
		delete(i.sessions, s)
		i.connections.Add(-1)
	}
}

// cancel interrupts the running statement of the session with the given process
// ID and secret key.
func (i *Instance) cancel(process uint32, secret []byte) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for s := range i.sessions {
		if s.process == process && string(s.secret) == string(secret) {
			select {
			case s.cancelled <- struct{}{}:
			default:
			}
		}
	}
}
