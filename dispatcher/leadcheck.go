package dispatcher

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/marigoldgauge/marigoldgauge/cataloguer"
	"github.com/marigoldgauge/marigoldgauge/observer"
)

// leadCheck makes sure, while a statement runs at a primary, that it is the primary.
type leadCheck struct {
	d         *Dispatcher
	group     string
	instance  string
	term      uint64
	needed    bool
	confirmed bool
	errgroup.Group
}

// watch begins a check of the instance on which a unit runs.
func (d *Dispatcher) watch(ctx context.Context, u Unit, i observer.Instance) *leadCheck {
	v := &leadCheck{d: d, group: u.Route.Group, instance: i.ID}
	if !u.leads() {
		return v
	}
	v.needed = true
	primary, term, ok := d.Observer.Primary(v.group)
	if !ok || primary != i.ID {
		return v
	}
	v.term = term
	asOf := u.asOf()
	v.Go(func() error {
		v.confirmed = d.confirm(ctx, v.group, asOf)
		return nil
	})
	return v
}

// wait returns whether the instance led alone all the while.
func (v *leadCheck) wait() bool {
	_ = v.Wait()
	if !v.needed {
		return true
	}
	primary, term, ok := v.d.Observer.Primary(v.group)
	return v.confirmed && ok && primary == v.instance && term == v.term
}

// asOf returns the time as of which the primary must be confirmed.
func (u Unit) asOf() time.Time {
	if u.Route.Kind == cataloguer.Primary {
		return u.Began
	}
	return u.Began.Add(stalenessMargin - u.Route.Staleness)
}
