// Package endpointfaker provides fake endpoints of a database group: instances
// that speak the PostgreSQL protocol, replicate asynchronously, keep terms and
// log positions, and can be given the faults of real instances.
package endpointfaker

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// replicationInterval is the interval at which a replica polls for new log entries.
const replicationInterval = 5 * time.Millisecond

// Group is a set of instances that replicate from one primary.
type Group struct {
	options   Options
	instances []*Instance

	mu  sync.Mutex
	lag time.Duration
}

// New returns a Group whose first instance is the primary of term 1.
func New(o Options) *Group {
	g := &Group{options: o, lag: o.Lag}
	for n, i := range o.Instances {
		g.instances = append(g.instances, newInstance(g, i, n == 0))
	}
	return g
}

// Instances returns the instances of the group.
func (g *Group) Instances() []*Instance {
	return g.instances
}

// Instance returns the instance with the given ID, or nil.
func (g *Group) Instance(id string) *Instance {
	for _, i := range g.instances {
		if i.id == id {
			return i
		}
	}
	return nil
}

// Primary returns the primary of the highest term.
func (g *Group) Primary() *Instance {
	var best *Instance
	var bestTerm uint64
	for _, i := range g.instances {
		if term, ok := i.primaryTerm(); ok && (best == nil || term > bestTerm) {
			best, bestTerm = i, term
		}
	}
	return best
}

// SetLag sets the replication lag.
func (g *Group) SetLag(lag time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lag = lag
}

// Exec runs SQL text on the primary without a connection, for test setup.
func (g *Group) Exec(text string) error {
	s := newSession(g.Primary(), nil)
	_, err := s.run(text, nil)
	return err
}

// Replicate runs replication between the instances until ctx is cancelled.
func (g *Group) Replicate(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, i := range g.instances {
		group.Go(func() error {
			ticker := time.NewTicker(replicationInterval)
			defer ticker.Stop()
			for {
				select {
				case <-ticker.C:
					i.replicate(time.Now())
				case <-ctx.Done():
					return nil
				}
			}
		})
	}
	return group.Wait()
}

// connected reports whether traffic passes both ways between two instances.
func (g *Group) connected(a, b string) bool {
	f := g.options.Reachable
	return f == nil || (f(a, b) && f(b, a))
}

// superseded reports whether an instance other than i was promoted in a later term
// than term.
func (g *Group) superseded(i *Instance, term uint64) bool {
	for _, other := range g.instances {
		if other == i {
			continue
		}
		if t, ok := other.lastPromotion(); ok && t > term {
			return true
		}
	}
	return false
}

// currentLag returns the replication lag.
func (g *Group) currentLag() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.lag
}
