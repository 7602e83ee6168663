package dispatcher

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/marigoldgauge/marigoldgauge/connector"
	"github.com/marigoldgauge/marigoldgauge/journaler"
	"github.com/marigoldgauge/marigoldgauge/modeller"
	"github.com/marigoldgauge/marigoldgauge/observer"
	"github.com/marigoldgauge/marigoldgauge/timekeeper"
)

const (
	// controlTimeout is the timeout of one control statement.
	controlTimeout = 400 * time.Millisecond
	// minRoundInterval is the minimum time between the starts of two status rounds of
	// one group: statements that wait for a primary share a round.
	minRoundInterval = 60 * time.Millisecond
	// roundTimeout is the timeout of a status round. It does not depend on the
	// statements that wait for the round.
	roundTimeout = time.Second
)

// statusRound is a set of status requests to the instances of a group, shared by
// all statements that wait for it.
type statusRound struct {
	startedAt time.Time
	done      chan struct{}
}

// confirmPrimary waits until the primary is confirmed as the only one as of a time,
// and reports whether it was before ctx ended.
func (d *Dispatcher) confirmPrimary(ctx context.Context, group string, asOf time.Time) bool {
	for {
		if _, _, ok := d.Observer.Primary(group); ok && !d.Observer.Confirmed(group).Before(asOf) {
			return true
		}
		r := d.startRound(group)
		select {
		case <-r.done:
		case <-ctx.Done():
			return false
		}
		if !r.startedAt.Before(asOf) && d.Observer.Confirmed(group).Before(asOf) {
			if !timekeeper.Sleep(ctx, retryDelay) {
				return false
			}
		}
	}
}

// RequestStatus requests the status of the instances of a group, without waiting for the
// responses.
func (d *Dispatcher) RequestStatus(group string) {
	d.startRound(group)
}

// startRound returns the status round in progress, or starts one.
func (d *Dispatcher) startRound(group string) *statusRound {
	d.mu.Lock()
	defer d.mu.Unlock()
	if r := d.rounds[group]; r != nil {
		return r
	}
	r := &statusRound{done: make(chan struct{})}
	d.rounds[group] = r
	due := d.roundStartedAt[group].Add(minRoundInterval)
	d.backgroundRounds.Go(func() error {
		timekeeper.Sleep(context.Background(), due.Sub(d.Clock.Now()))
		d.mu.Lock()
		r.startedAt = d.Clock.Now()
		d.roundStartedAt[group] = r.startedAt
		d.mu.Unlock()
		ctx, cancel := context.WithTimeout(context.Background(), roundTimeout)
		defer cancel()
		d.queryGroup(ctx, group)
		d.mu.Lock()
		delete(d.rounds, group)
		d.mu.Unlock()
		close(r.done)
		return nil
	})
	return r
}

// queryGroup requests the position of the primary, and asks a replica to confirm
// the primary. Without a known primary it requests the status of all instances.
func (d *Dispatcher) queryGroup(ctx context.Context, group string) {
	primary, _, known := d.Observer.Primary(group)
	instances := d.Observer.Instances(group)
	p := slices.IndexFunc(instances, func(i observer.Instance) bool { return i.ID == primary })
	if !known || p < 0 || d.Observer.IsSuperseded(group) {
		// A primary that is no longer listed may have restarted as a new process, and the successor
		// of a superseded one may lead.
		var g errgroup.Group
		for _, i := range instances {
			g.Go(func() error {
				d.queryStatus(ctx, i)
				return nil
			})
		}
		_ = g.Wait()
		return
	}
	var g errgroup.Group
	if d.Observer.NeedsSample(group, d.Clock.Now()) {
		requestedAt := d.Clock.Now()
		g.Go(func() error {
			d.queryStatusAt(ctx, instances[p], requestedAt)
			return nil
		})
	}
	if d.Observer.Confirmed(group).Before(d.Clock.Now()) {
		g.Go(func() error {
			d.confirmByReplica(ctx, group, primary)
			return nil
		})
	}
	_ = g.Wait()
}

// confirmByReplica queries the replicas one after the other until one confirms the
// primary.
func (d *Dispatcher) confirmByReplica(ctx context.Context, group, primary string) {
	tried := []string{primary}
	for ctx.Err() == nil {
		i, ok := d.Observer.Choose(d.Clock.Now(), observer.Requirements{Group: group, Exclude: tried})
		if !ok {
			return
		}
		before := d.Observer.Confirmed(group)
		d.queryStatus(ctx, i)
		if d.Observer.Confirmed(group).After(before) {
			return
		}
		tried = append(tried, i.ID)
	}
}

// queryStatus requests the status of an instance.
func (d *Dispatcher) queryStatus(ctx context.Context, i observer.Instance) {
	d.queryStatusAt(ctx, i, d.Clock.Now())
}

// queryStatusAt requests the status of an instance; the response counts as of
// requestedAt.
func (d *Dispatcher) queryStatusAt(ctx context.Context, i observer.Instance, requestedAt time.Time) {
	st, err := d.Control(ctx, i, modeller.Statement{Kind: modeller.Status})
	if err != nil {
		d.Journal.LogStateChange("instance-silent", journaler.Instance(i.ID), journaler.Group(i.Group), journaler.F("statement", modeller.Status), journaler.Err(err))
		return
	}
	if d.Observer.ObserveStatus(d.Clock.Now(), requestedAt, i, st) {
		d.Journal.LogStateChange("primary-changed", journaler.Group(i.Group), journaler.Primary(i.ID), journaler.Term(st.Term),
			journaler.F("position", st.Received), journaler.Source("status"))
	}
}

// Control runs a control statement of the proxy, such as Status or StepDown, on an
// instance and returns the status of the instance.
func (d *Dispatcher) Control(ctx context.Context, i observer.Instance, s modeller.Statement) (modeller.InstanceStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	pool := d.controlPool(i.ID)
	if pool == nil {
		return modeller.InstanceStatus{}, errInstanceRemoved
	}
	d.Observer.BeginStatement(i)
	conn, err := pool.AcquireAny(ctx)
	if err != nil {
		d.handleAcquireError(pool, i, err)
		return modeller.InstanceStatus{}, err
	}
	sent := d.Clock.Now()
	a, err := conn.Exchange(ctx, s)
	now := d.Clock.Now()
	conn.Release(now, err == nil)
	if err != nil {
		d.Observer.RecordFailure(now, i)
		return modeller.InstanceStatus{}, err
	}
	d.Observer.EndControl(sent, i, a)
	if a.Status == nil {
		return modeller.InstanceStatus{}, &refusedError{a}
	}
	return *a.Status, nil
}

// handleAcquireError reports to the observer why no connection was acquired.
func (d *Dispatcher) handleAcquireError(pool *connector.Pool, i observer.Instance, err error) {
	var refusal *connector.Refusal
	switch {
	case errors.As(err, &refusal):
		d.Observer.AbandonStatement(i)
	case errors.Is(err, connector.ErrNoConnection):
		d.handleNoConnection(pool, i)
	default:
		d.Observer.RecordFailure(d.Clock.Now(), i)
	}
}

// errInstanceRemoved means that the platform no longer lists an instance.
var errInstanceRemoved = eris.New("instance is no longer listed by the platform")

// refusedError is the error for a response without a status.
type refusedError struct {
	response modeller.Response
}

// Error returns the result and the detail of the response.
func (e *refusedError) Error() string {
	return "instance refused the control statement: " + e.response.Result.String() + " " + e.response.Detail
}
