package dispatcher

import (
	"maps"
	"slices"
	"time"

	"github.com/marigoldgauge/marigoldgauge/cataloguer"
	"github.com/marigoldgauge/marigoldgauge/connector"
	"github.com/marigoldgauge/marigoldgauge/observer"
)

// SetInstances adds and removes instances.
func (d *Dispatcher) SetInstances(added, removed []observer.Instance) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, i := range removed {
		d.closePool(i.ID)
		if i.Leaving {
			delete(d.targets, i.ID)
		} else {
			d.departedAt[i.ID] = d.Clock.Now()
		}
	}
	for _, i := range added {
		// An instance that departed may still have a pool for its former address.
		d.closePool(i.ID)
		delete(d.departedAt, i.ID)
		d.targets[i.ID] = connector.Target{Group: i.Group, Instance: i.ID, Address: i.Address}
	}
}

// closePool closes the connections to an instance. The caller holds the lock.
func (d *Dispatcher) closePool(id string) {
	if p := d.pools[id]; p != nil {
		p.Close()
		delete(d.pools, id)
	}
}

// SetGroups sets the groups, of which some are new or changed and some are gone.
func (d *Dispatcher) SetGroups(groups cataloguer.Index[cataloguer.Group], changed map[string]cataloguer.Group, gone []string) {
	d.mu.Lock()
	d.groups = groups
	d.mu.Unlock()
	d.updateBounds(func(group string) bool {
		_, ok := changed[group]
		return ok || slices.Contains(gone, group)
	})
}

// UpdateBounds updates the limits on the connections of this VM to all instances, after its
// shares changed.
func (d *Dispatcher) UpdateBounds() {
	d.updateBounds(func(string) bool { return true })
}

// updateBounds updates the limits on the connections of this VM to the instances of the
// groups that a function selects.
func (d *Dispatcher) updateBounds(selects func(group string) bool) {
	d.mu.Lock()
	pools := maps.Clone(d.pools)
	d.mu.Unlock()
	for _, p := range pools {
		if selects(p.Group()) {
			p.SetBounds(d.bounds(p.Group()))
		}
	}
}

// bounds returns the limits on the connections of this VM to an instance of a group.
func (d *Dispatcher) bounds(group string) connector.Bounds {
	d.mu.Lock()
	g, ok := d.groups.Get(group)
	d.mu.Unlock()
	if !ok {
		return connector.NewBounds(defaultConnections, 1)
	}
	return connector.NewBounds(g.MaxConnections, d.Shares.Share(d.Clock.Now(), group))
}

// defaultConnections is the number of connections that each instance of a group is
// assumed to accept before the configuration of the group is known.
const defaultConnections = 8

// pool returns the connection pool of an instance, or nil once the instance is removed.
func (d *Dispatcher) pool(id string) *connector.Pool {
	d.mu.Lock()
	_, departed := d.departedAt[id]
	d.mu.Unlock()
	if departed {
		return nil
	}
	return d.controlPool(id)
}

// controlPool returns the connection pool of an instance that is listed or has departed. A VM uses
// a few of the instances only, so pools are created at their first use.
func (d *Dispatcher) controlPool(id string) *connector.Pool {
	d.mu.Lock()
	p := d.pools[id]
	t, ok := d.targets[id]
	d.mu.Unlock()
	if p != nil || !ok {
		return p
	}
	created := connector.NewPool(t, d.Dialer, d.Clock, d.bounds(t.Group))
	if p := d.addPool(t, created); p != created {
		return p
	}
	// The group may have changed meanwhile.
	created.SetBounds(d.bounds(t.Group))
	return created
}

// addPool adds a pool unless there is one, and returns the pool in use.
func (d *Dispatcher) addPool(t connector.Target, created *connector.Pool) *connector.Pool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.targets[t.Instance] != t {
		// The instance was removed or replaced meanwhile, or the Dispatcher was closed.
		return d.pools[t.Instance]
	}
	if d.pools[t.Instance] == nil {
		d.pools[t.Instance] = created
	}
	return d.pools[t.Instance]
}

// CloseIdle closes connections that have exceeded the idle timeout, and those to instances that
// departed long ago.
func (d *Dispatcher) CloseIdle(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, at := range d.departedAt {
		if now.Sub(at) > observer.DepartedRetention {
			d.closePool(id)
			delete(d.targets, id)
			delete(d.departedAt, id)
		}
	}
	for _, p := range d.pools {
		p.CloseIdle(now)
	}
}

// Close closes all connections and waits for the status rounds in progress.
func (d *Dispatcher) Close() {
	d.mu.Lock()
	pools := slices.Collect(maps.Values(d.pools))
	// No pool is created from now on.
	d.targets = map[string]connector.Target{}
	d.mu.Unlock()
	for _, p := range pools {
		p.Close()
		p.Wait()
	}
	_ = d.backgroundRounds.Wait()
}

// PoolStats returns the statistics of the connection pool of each instance.
func (d *Dispatcher) PoolStats() map[string]connector.Stats {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make(map[string]connector.Stats, len(d.pools))
	for id, p := range d.pools {
		out[id] = p.Stats()
	}
	return out
}
