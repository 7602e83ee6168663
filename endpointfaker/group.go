// Package endpointfaker is a small stand-in for the endpoints of a database
// group: instances that speak the PostgreSQL protocol, replicate
// asynchronously, carry terms and log positions, and have the faults of the
// real ones.
package endpointfaker

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// replicateEvery is how often a replica looks for new entries.
const replicateEvery = 5 * time.Millisecond

// Group is a set of instances that replicate from one primary.
type Group struct {
	options   Options
	instances []*Instance

	mu  sync.Mutex
	lag time.Duration
}

// New returns a Group whose first instance leads term 1.
func New(o Options) *Group {
	g := &Group{options: o, lag: o.Lag}
	for n, i := range o.Instances {
		g.instances = append(g.instances, newInstance(g, i, n == 0))
	}
	return g
}

// Instances returns the instances.
func (g *Group) Instances() []*Instance {
	return g.instances
}

// Instance returns an instance by name, or nil.
func (g *Group) Instance(id string) *Instance {
	for _, i := range g.instances {
		if i.id == id {
			return i
		}
	}
	return nil
}

// Leader returns the primary of the highest term.
func (g *Group) Leader() *Instance {
	var best *Instance
	var bestTerm uint64
	for _, i := range g.instances {
		if term, ok := i.leads(); ok && (best == nil || term > bestTerm) {
			best, bestTerm = i, term
		}
	}
	return best
}

// SetLag changes the time by which replicas stay behind.
func (g *Group) SetLag(lag time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lag = lag
}

// Exec runs a statement on the primary without a connection, to prepare a test.
func (g *Group) Exec(text string) error {
	s := newSession(g.Leader(), nil)
	_, err := s.run(text, nil)
	return err
}

// Replicate runs the replication until ctx ends.
func (g *Group) Replicate(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, i := range g.instances {
		group.Go(func() error {
			ticker := time.NewTicker(replicateEvery)
			defer ticker.Stop()
			for {
				select {
				case <-ticker.C:
					i.follow(time.Now())
				case <-ctx.Done():
					return nil
				}
			}
		})
	}
	return group.Wait()
}

// reaches reports whether traffic passes both ways between two instances.
func (g *Group) reaches(a, b string) bool {
	f := g.options.Reaches
	return f == nil || (f(a, b) && f(b, a))
}

// replaced reports whether an instance other than i leads a later term than term.
func (g *Group) replaced(i *Instance, term uint64) bool {
	for _, other := range g.instances {
		if other == i {
			continue
		}
		if t, ok := other.promoted(); ok && t > term {
			return true
		}
	}
	return false
}

// currentLag returns the time by which replicas stay behind.
func (g *Group) currentLag() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.lag
}
