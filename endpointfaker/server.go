package endpointfaker

import (
	"context"
	"net"

	"golang.org/x/sync/errgroup"
)

// Serve accepts connections until ctx ends, and then closes all of them.
func (i *Instance) Serve(ctx context.Context, l net.Listener) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		<-ctx.Done()
		_ = l.Close()
		i.killAll()
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

// killAll closes all connections.
func (i *Instance) killAll() {
	i.mu.Lock()
	defer i.mu.Unlock()
	for s := range i.sessions {
		s.kill()
	}
}

// admit counts a new connection and refuses it over the cap or in an old epoch.
func (i *Instance) admit(s *session) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	if limit := i.group.options.Connections; limit > 0 && len(i.sessions) >= limit {
		return failure("53300", "too many connections")
	}
	if s.epoch != 0 && s.epoch < i.poolEpoch {
		return failure("57P01", "a later owner of the pool is in force")
	}
	i.sessions[s] = struct{}{}
	n := i.connections.Add(1)
	i.peak.Store(max(i.peak.Load(), n))
	return nil
}

// dismiss counts a connection that ended.
func (i *Instance) dismiss(s *session) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if _, ok := i.sessions[s]; ok {
		delete(i.sessions, s)
		i.connections.Add(-1)
	}
}

// cancel interrupts the statement of a connection.
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
