package dispatcher

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/marigoldgauge/marigoldgauge/clocker"
	"github.com/marigoldgauge/marigoldgauge/connector"
	"github.com/marigoldgauge/marigoldgauge/journaler"
	"github.com/marigoldgauge/marigoldgauge/observer"
	"github.com/marigoldgauge/marigoldgauge/phraser"
)

const (
	// controlTimeout bounds one question to an instance.
	controlTimeout = 400 * time.Millisecond
	// minRoundInterval is the least time between two rounds of one group: statements
	// that wait for a primary share their questions.
	minRoundInterval = 60 * time.Millisecond
	// roundTimeout bounds a round that nobody waits for.
	roundTimeout = time.Second
)

// statusRound is one set of questions to a group, shared by all who wait for it.
type statusRound struct {
	startedAt time.Time
	done      chan struct{}
}

// confirmPrimary makes sure that the primary leads alone as of a time, and reports whether it does.
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
			if !clocker.Sleep(ctx, retryDelay) {
				return false
			}
		}
	}
}

// Ask asks the instances of a group what they are, without waiting for the answers.
func (d *Dispatcher) Ask(group string) {
	d.startRound(group)
}

// startRound starts a round unless one is under way.
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
		clocker.Sleep(context.Background(), due.Sub(d.Clock.Now()))
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

// queryGroup asks the primary for its position and a replica whether it still
// follows; without a known primary it asks all instances.
func (d *Dispatcher) queryGroup(ctx context.Context, group string) {
	primary, _, known := d.Observer.Primary(group)
	all := d.Observer.Instances(group)
	p := slices.IndexFunc(all, func(i observer.Instance) bool { return i.ID == primary })
	if !known || p < 0 {
		// A primary that is no longer listed may have come back as a new process.
		var g errgroup.Group
		for _, i := range all {
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
		asked := d.Clock.Now()
		g.Go(func() error {
			d.queryStatusAt(ctx, all[p], asked)
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

// confirmByReplica asks the replicas one after the other until one confirms the primary.
func (d *Dispatcher) confirmByReplica(ctx context.Context, group, primary string) {
	tried := []string{primary}
	for ctx.Err() == nil {
		i, ok := d.Observer.Choose(d.Clock.Now(), observer.Need{Group: group, Tried: tried})
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

// queryStatus asks an instance for its status.
func (d *Dispatcher) queryStatus(ctx context.Context, i observer.Instance) {
	d.queryStatusAt(ctx, i, d.Clock.Now())
}

// queryStatusAt asks an instance for its status and counts the answer from asked.
func (d *Dispatcher) queryStatusAt(ctx context.Context, i observer.Instance, asked time.Time) {
	st, err := d.Control(ctx, i, phraser.Statement{Kind: phraser.Status})
	if err != nil {
		d.Journal.Belief("instance-silent", journaler.Instance(i.ID), journaler.Group(i.Group), journaler.F("statement", phraser.Status), journaler.Err(err))
		return
	}
	if d.Observer.ObserveStatus(d.Clock.Now(), asked, i, st) {
		d.Journal.Belief("primary-changed", journaler.Group(i.Group), journaler.Primary(i.ID), journaler.Term(st.Term),
			journaler.F("position", st.Received), journaler.Source("status"))
	}
}

// Control runs a statement of the product on an instance and returns its status.
func (d *Dispatcher) Control(ctx context.Context, i observer.Instance, s phraser.Statement) (phraser.InstanceStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	pool := d.pool(i.ID)
	if pool == nil {
		return phraser.InstanceStatus{}, errInstanceRemoved
	}
	d.Observer.Begin(i)
	link, err := pool.AcquireAny(ctx)
	if err != nil {
		d.handleAcquireError(pool, i, err)
		return phraser.InstanceStatus{}, err
	}
	sent := d.Clock.Now()
	a, err := link.Exchange(ctx, s)
	now := d.Clock.Now()
	link.Release(now, err == nil)
	if err != nil {
		d.Observer.Fail(now, i)
		return phraser.InstanceStatus{}, err
	}
	d.Observer.Answered(sent, i, a)
	if a.Status == nil {
		return phraser.InstanceStatus{}, &refusedError{a}
	}
	return *a.Status, nil
}

// handleAcquireError tells the observer why no connection could be had.
func (d *Dispatcher) handleAcquireError(pool *connector.Pool, i observer.Instance, err error) {
	var refusal *connector.Refusal
	switch {
	case errors.As(err, &refusal):
		d.Observer.Abandon(i)
	case errors.Is(err, connector.ErrNoConnection):
		d.handleNoConnection(pool, i)
	default:
		d.Observer.Fail(d.Clock.Now(), i)
	}
}

// errInstanceRemoved means that an instance left the platform's list.
var errInstanceRemoved = eris.New("the instance is gone")

// refusedError is an answer that carries no status.
type refusedError struct {
	answer phraser.Answer
}

// Error describes the answer.
func (e *refusedError) Error() string {
	return "the instance refused: " + e.answer.Result.String() + " " + e.answer.Detail
}
