package dispatcher

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/marigoldgauge/marigoldgauge/cataloguer"
	"github.com/marigoldgauge/marigoldgauge/observer"
)

// primaryCheck confirms, while a statement runs on an instance, that the instance is
// the primary.
type primaryCheck struct {
	d         *Dispatcher
	group     string
	instance  string
	term      uint64
	required  bool
	confirmed bool
	errgroup.Group
}

// checkPrimary starts a check of the instance on which a unit runs.
func (d *Dispatcher) checkPrimary(ctx context.Context, u Unit, i observer.Instance) *primaryCheck {
	c := &primaryCheck{d: d, group: u.Route.Group, instance: i.ID}
	if !u.needsPrimary() {
		return c
	}
	c.required = true
	primary, term, ok := d.Observer.Primary(c.group)
	if !ok || primary != i.ID {
		return c
	}
	c.term = term
	asOf := u.confirmedAsOf()
	c.Go(func() error {
		c.confirmed = d.confirmPrimary(ctx, c.group, asOf)
		return nil
	})
	return c
}

// passed waits for the check and reports whether the instance was the only primary
// throughout, or need not be.
func (c *primaryCheck) passed() bool {
	_ = c.Wait()
	if !c.required {
		return true
	}
	primary, term, ok := c.d.Observer.Primary(c.group)
	return c.confirmed && ok && primary == c.instance && term == c.term
}

// confirmedAsOf returns the time as of which the primary must be confirmed for the unit.
func (u Unit) confirmedAsOf() time.Time {
	if u.Route.Kind == cataloguer.Primary {
		return u.StartedAt
	}
	return u.StartedAt.Add(stalenessMargin - u.Route.MaxStaleness)
}
