package dispatcher

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/marigoldgauge/marigoldgauge/cataloguer"
	"github.com/marigoldgauge/marigoldgauge/observer"
)

// primaryCheck makes sure, while a statement runs at a primary, that it is the primary.
type primaryCheck struct {
	d         *Dispatcher
	group     string
	instance  string
	term      uint64
	required  bool
	confirmed bool
	errgroup.Group
}

// checkPrimary begins a check of the instance on which a unit runs.
func (d *Dispatcher) checkPrimary(ctx context.Context, u Unit, i observer.Instance) *primaryCheck {
	v := &primaryCheck{d: d, group: u.Route.Group, instance: i.ID}
	if !u.needsPrimary() {
		return v
	}
	v.required = true
	primary, term, ok := d.Observer.Primary(v.group)
	if !ok || primary != i.ID {
		return v
	}
	v.term = term
	asOf := u.confirmedAsOf()
	v.Go(func() error {
		v.confirmed = d.confirmPrimary(ctx, v.group, asOf)
		return nil
	})
	return v
}

// passed returns whether the instance led alone all the while.
func (v *primaryCheck) passed() bool {
	_ = v.Wait()
	if !v.required {
		return true
	}
	primary, term, ok := v.d.Observer.Primary(v.group)
	return v.confirmed && ok && primary == v.instance && term == v.term
}

// confirmedAsOf returns the time as of which the primary must be confirmed.
func (u Unit) confirmedAsOf() time.Time {
	if u.Route.Kind == cataloguer.Primary {
		return u.Began
	}
	return u.Began.Add(stalenessMargin - u.Route.Staleness)
}
