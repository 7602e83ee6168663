// Package dispatcher runs the statements of callers on instances.
//
// It decides where a statement may run and where it is served the soonest,
// repeats what certainly did not run, and tells exactly what is known of the
// rest. A write is sent once; only an instance's word that it did not run lets
// it be sent again.
package dispatcher

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/marigoldgauge/marigoldgauge/journaler"

	"golang.org/x/sync/errgroup"

	"github.com/marigoldgauge/marigoldgauge/cataloguer"
	"github.com/marigoldgauge/marigoldgauge/coder"
	"github.com/marigoldgauge/marigoldgauge/connector"
	"github.com/marigoldgauge/marigoldgauge/observer"
	"github.com/marigoldgauge/marigoldgauge/phraser"
	"github.com/marigoldgauge/marigoldgauge/tracker"
)

const (
	// pollEvery is how often a waiting statement looks whether it can go on.
	pollEvery = 15 * time.Millisecond
)

// Dispatcher runs statements. It is safe for concurrent use.
type Dispatcher struct {
	Parts

	mu     sync.Mutex
	pools  map[string]*connector.Pool
	groups map[string]cataloguer.Group
	vms    int
	rounds map[string]*round
	// surveyed is when the last round of each group began.
	surveyed map[string]time.Time

	background errgroup.Group
}

// New returns a Dispatcher without instances.
func New(p Parts) *Dispatcher {
	return &Dispatcher{Parts: p, pools: map[string]*connector.Pool{}, groups: map[string]cataloguer.Group{}, vms: 1, rounds: map[string]*round{}, surveyed: map[string]time.Time{}}
}

// SetInstances takes the instances that came and went.
func (d *Dispatcher) SetInstances(came, went []observer.Instance) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, i := range went {
		if p := d.pools[i.ID]; p != nil {
			p.Close()
			delete(d.pools, i.ID)
		}
	}
	for _, i := range came {
		t := connector.Target{Group: i.Group, Instance: i.ID, Address: i.Address}
		d.pools[i.ID] = connector.NewPool(t, d.Dialer, d.Clock, d.bounds(i.Group))
	}
}

// SetShape takes the groups and the number of VMs, from which the bounds of the pools follow.
func (d *Dispatcher) SetShape(groups map[string]cataloguer.Group, vms int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.groups, d.vms = groups, max(vms, 1)
	for _, name := range d.Observer.Groups() {
		for _, i := range d.Observer.Instances(name) {
			if p := d.pools[i.ID]; p != nil {
				p.SetBounds(d.bounds(name))
			}
		}
	}
}

// bounds returns how many connections to an instance this VM may hold. The lock is held.
func (d *Dispatcher) bounds(group string) connector.Bounds {
	most := d.groups[group].Connections
	if most == 0 {
		most = defaultConnections
	}
	share := max(1, most/d.vms)
	return connector.Bounds{Share: share, Most: most}
}

// defaultConnections is assumed of a group before its configuration is known.
const defaultConnections = 8

// Sweep closes connections that have been idle for long.
func (d *Dispatcher) Sweep(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range d.pools {
		p.Sweep(now)
	}
}

// Close closes all connections and waits for the questions under way.
func (d *Dispatcher) Close() {
	d.mu.Lock()
	pools := slices.Collect(maps.Values(d.pools))
	d.mu.Unlock()
	for _, p := range pools {
		p.Close()
		p.Wait()
	}
	_ = d.background.Wait()
}

// Connections returns the number of connections held and ever opened.
func (d *Dispatcher) Connections() (open int, opened uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range d.pools {
		st := p.Stats()
		open += st.Open
		opened += st.Opened
	}
	return open, opened
}

// pool returns the connections to an instance, or nil once it is gone.
func (d *Dispatcher) pool(id string) *connector.Pool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.pools[id]
}

// refuse returns an answer that promises that nothing was kept.
func refuse(r phraser.Result, code coder.Code, why string) phraser.Answer {
	return phraser.Refuse(r, code.String()+" "+why)
}

// Run runs a single statement outside a transaction.
func (d *Dispatcher) Run(ctx context.Context, u Unit) phraser.Answer {
	u.trace = &trace{}
	a := d.run(ctx, u)
	d.note(u, a)
	return a
}

// run admits and runs a single statement.
func (d *Dispatcher) run(ctx context.Context, u Unit) phraser.Answer {
	if a, ok := d.admit(ctx, u); !ok {
		return a
	}
	ctx, cancel := context.WithTimeout(ctx, u.Route.Timeout)
	defer cancel()
	return d.repeat(ctx, u, func(i observer.Instance, after tracker.Position) (phraser.Answer, bool) {
		return d.attempt(ctx, u, i, after)
	})
}

// note counts a unit, and records one that took longer than the target of its route.
func (d *Dispatcher) note(u Unit, a phraser.Answer) {
	took := d.Clock.Now().Sub(u.Began)
	d.Measurer.Request(u.Route.Kind.String(), a.Result.String(), took)
	for part, t := range u.trace.parts() {
		d.Measurer.Part(part, t)
	}
	if took <= u.Route.Target {
		return
	}
	d.Journal.Request("slow", u.Statement.ID, append([]journaler.Field{journaler.F("took", took), journaler.Group(u.Route.Group), journaler.F("route-kind", u.Route.Kind),
		journaler.F("writes", u.Writes), journaler.Organisation(u.Organisation)}, u.trace.fields()...)...)
}

// repeat places a unit and tries it until it is done or its time is over.
func (d *Dispatcher) repeat(ctx context.Context, u Unit, try func(i observer.Instance, after tracker.Position) (phraser.Answer, bool)) phraser.Answer {
	var tried []string
	last := ""
	for {
		now := d.Clock.Now()
		i, after, why := d.place(ctx, now, u, tried)
		u.trace.placing += d.Clock.Now().Sub(now)
		if why != "" {
			return d.giveUp(now, u, tried, why+last)
		}
		a, done := try(i, after)
		u.trace.attempts++
		u.trace.last, u.trace.instance = a.Result.String(), i.ID
		if done {
			return a
		}
		last = ", last " + a.Result.String() + " at " + i.ID
		if a.Result == phraser.Full && d.Clock.Now().Sub(u.Began) > u.Route.Target/saturatedShare {
			return d.giveUp(d.Clock.Now(), u, tried, "no connection is free in time"+last)
		}
		tried = append(tried, i.ID)
		if len(tried)%attemptsBeforePause == 0 || u.leads() {
			if !pause(ctx, pollEvery) {
				return d.giveUp(d.Clock.Now(), u, tried, "the time of the route is over"+last)
			}
			tried = tried[:0]
		}
	}
}

// saturatedShare is the part of a route's target after which a unit is refused
// that finds all connections in use: served later it would only make others
// late as well.
const saturatedShare = 2

// attemptsBeforePause is the number of instances tried before the first is tried again.
const attemptsBeforePause = 3

// admit takes a token of the organisation's rate, waiting a moment for it if need be.
func (d *Dispatcher) admit(ctx context.Context, u Unit) (phraser.Answer, bool) {
	longest := u.Route.Target / admitShare
	if u.Route.Priority > urgent {
		longest = u.Route.Target / admitShareLater
	}
	began := d.Clock.Now()
	defer func() { u.trace.admission = d.Clock.Now().Sub(began) }()
	d.Sharer.Ask(u.Organisation)
	wait, ok := d.Sharer.Admit(d.Clock.Now(), u.Organisation, 0)
	if !ok {
		wait, ok = d.Borrower.Borrow(ctx, u.Organisation, longest)
	}
	if !ok {
		wait, ok = d.Sharer.Admit(d.Clock.Now(), u.Organisation, longest)
	}
	if !ok {
		share, demand := d.Sharer.Share(u.Organisation)
		d.Journal.Request("refuse", u.Statement.ID, journaler.Code(coder.OverRate), journaler.Organisation(u.Organisation),
			journaler.F("share", share), journaler.F("demand", demand), journaler.F("retry-after", wait))
		return refuse(phraser.Busy, coder.OverRate, "over the rate, retry after "+wait.Round(time.Millisecond).String()), false
	}
	if wait > 0 {
		pause(ctx, wait)
	}
	return phraser.Answer{}, true
}

const (
	// urgent is the largest priority number of what is urgent; 0 goes first.
	urgent = 1
	// admitShare is the part of a route's target for which an urgent operation
	// waits for its token; what remains is enough to be served in time.
	admitShare = 2
	// admitShareLater is that part for all others, so that of an organisation at
	// its limit the urgent operations find the tokens.
	admitShareLater = 8
)

// pause waits and reports whether ctx is still alive.
func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// giveUp refuses a statement that no instance could run.
func (d *Dispatcher) giveUp(now time.Time, u Unit, tried []string, why string) phraser.Answer {
	d.Sharer.Return(now, u.Organisation)
	primary, term, known := d.Observer.Primary(u.Route.Group)
	d.Journal.Request("refuse", u.Statement.ID, append([]journaler.Field{journaler.Code(coder.QueueTimeout), journaler.Reason(why),
		journaler.Organisation(u.Organisation), journaler.Group(u.Route.Group), journaler.F("route-kind", u.Route.Kind),
		journaler.F("writes", u.Writes), journaler.F("waited", now.Sub(u.Began)), journaler.F("tried", tried),
		journaler.Primary(primary), journaler.Term(term), journaler.F("primary-known", known),
		journaler.F("vouched-for", d.Observer.Confirmed(u.Route.Group).Sub(now))}, u.trace.fields()...)...)
	return refuse(phraser.Busy, coder.QueueTimeout, why)
}

// place decides where a statement runs and which position the log must hold
// there. It waits while that can't be decided; why tells that it gave up.
func (d *Dispatcher) place(ctx context.Context, now time.Time, u Unit, tried []string) (i observer.Instance, after tracker.Position, why string) {
	for {
		need := observer.Need{Group: u.Route.Group, Lead: u.leads(), Tried: tried}
		why = "the primary is not known"
		if !need.Lead {
			after, why = d.requirement(ctx, now, u)
			need.After = after
		}
		if u.Writes && !d.Observer.Opened(now, u.Route.Group) {
			why = "the primary is not open for writes yet"
		} else if need.Lead || why == "" {
			if i, ok := d.Observer.Choose(now, need); ok {
				return i, after, ""
			}
			if len(tried) > 0 && !need.Lead {
				return d.place(ctx, now, u, nil)
			}
		}
		if need.Lead {
			tried = nil
			d.askUnknown(u.Route.Group)
		}
		if !pause(ctx, pollEvery) {
			return i, after, why
		}
		now = d.Clock.Now()
	}
}

// requirement returns the position that a replica must hold for a read.
func (d *Dispatcher) requirement(ctx context.Context, now time.Time, u Unit) (p tracker.Position, why string) {
	limit := u.Began.Add(stalenessMargin - u.Route.Staleness)
	p, ok := d.Observer.Watermark(u.Route.Group, limit)
	if !ok {
		d.sound(ctx, u.Route.Group)
		if p, ok = d.Observer.Watermark(u.Route.Group, limit); !ok {
			return p, "no position of the primary is recent enough"
		}
	} else if d.Observer.Confirmed(u.Route.Group).Before(now.Add(-u.Route.Staleness / 2)) {
		d.Ask(u.Route.Group)
	}
	_, term, _ := d.Observer.Primary(u.Route.Group)
	return require(u, p, term), ""
}

// require returns the position that a read needs, given a watermark of the
// primary of a term.
//
// The watermark covers all that has survived of earlier terms. A position of an
// earlier term beyond it was rolled back by the promotion, and no log will ever
// hold it again.
func require(u Unit, watermark tracker.Position, term uint64) tracker.Position {
	if u.Route.Kind == cataloguer.ReadYourWrites && u.Session.Term >= term {
		return watermark.Max(u.Session)
	}
	return watermark
}

// stalenessMargin is left of a route's staleness for the way to the instance.
const stalenessMargin = 100 * time.Millisecond

// attempt runs a statement on one instance; done is false when it may be tried again.
func (d *Dispatcher) attempt(ctx context.Context, u Unit, i observer.Instance, after tracker.Position) (a phraser.Answer, done bool) {
	w := d.watch(ctx, u, i)
	link, a, err := d.open(ctx, u, i, after)
	if link != nil {
		link.Release(d.Clock.Now(), err == nil)
	}
	return d.judge(u, i, a, err, link != nil, u.Writes || w.wait())
}

// open gets a connection and runs the statement on it; link is nil when it was not sent.
func (d *Dispatcher) open(ctx context.Context, u Unit, i observer.Instance, after tracker.Position) (*connector.Link, phraser.Answer, error) {
	d.Observer.Begin(i)
	link, a := d.link(ctx, u, i)
	if link == nil {
		return nil, a, nil
	}
	s := u.Statement
	s.After = after
	a, err := d.exchange(ctx, u, i, link, s)
	return link, a, err
}

// link gets a connection that carries the caller's session.
func (d *Dispatcher) link(ctx context.Context, u Unit, i observer.Instance) (*connector.Link, phraser.Answer) {
	pool := d.pool(i.ID)
	if pool == nil {
		d.Observer.Abandon(i)
		return nil, phraser.Refuse(phraser.Moved, "the instance is gone")
	}
	began := d.Clock.Now()
	link, err := pool.Acquire(ctx, u.Organisation, u.Route.Priority, u.Route.Target/connectShare)
	u.trace.linking += d.Clock.Now().Sub(began)
	if link != nil && link.Fresh() {
		u.trace.dialled++
	}
	if err == nil {
		err = d.adopt(ctx, u, link)
		if err == nil {
			return link, phraser.Answer{}
		}
		link.Release(d.Clock.Now(), false)
	}
	var refusal *connector.Refusal
	if errors.As(err, &refusal) {
		d.Observer.End(d.Clock.Now(), d.Clock.Now(), i, phraser.Answer{Result: refusal.Result})
		return nil, phraser.Refuse(refusal.Result, refusal.Detail)
	}
	if errors.Is(err, connector.ErrNoRoom) {
		d.Observer.Abandon(i)
		st := pool.Stats()
		d.Journal.Request("no-connection", u.Statement.ID, journaler.Instance(i.ID), journaler.Group(i.Group), journaler.F("open", st.Open), journaler.F("idle", st.Idle),
			journaler.F("dialling", st.Dialling), journaler.F("waiting", st.Waiting), journaler.F("share", st.Share), journaler.F("full-times", st.FullTimes))
		return nil, phraser.Refuse(phraser.Full, err.Error())
	}
	d.Observer.Fail(d.Clock.Now(), i)
	d.Journal.Request("instance-failed", u.Statement.ID, journaler.Instance(i.ID), journaler.Group(i.Group), journaler.Err(err))
	return nil, phraser.Refuse(phraser.Busy, err.Error())
}

// connectShare is the part of a route's target within which a connection must
// be found; then another instance is tried.
const connectShare = 2

// adopt prepares a connection for the caller's session.
func (d *Dispatcher) adopt(ctx context.Context, u Unit, link *connector.Link) error {
	if err := link.Adopt(ctx, u.Values); err != nil {
		return err
	}
	if u.Definition == nil {
		return nil
	}
	return link.Prepare(ctx, u.Definition.name(), u.Definition.Writes, u.Definition.Shape)
}

// exchange sends a statement and tells the observer how it went.
func (d *Dispatcher) exchange(ctx context.Context, u Unit, i observer.Instance, link *connector.Link, s phraser.Statement) (phraser.Answer, error) {
	if s.Kind == phraser.Execute && u.Definition != nil {
		s.Name = u.Definition.name()
	}
	sent := d.Clock.Now()
	a, err := link.Exchange(ctx, s)
	now := d.Clock.Now()
	if u.trace != nil {
		u.trace.running += now.Sub(sent)
	}
	if err != nil {
		d.Observer.Fail(now, i)
		if commits(u, s.Kind) {
			d.Observer.Stuck(sent, i)
		}
		d.Journal.Request("exchange-broken", u.Statement.ID, journaler.Instance(i.ID), journaler.Group(i.Group),
			journaler.F("kind", s.Kind), journaler.F("after", now.Sub(sent)), journaler.Err(err))
		return a, err
	}
	d.Observer.End(now, sent, i, a)
	if a.Result == phraser.Done && commits(u, s.Kind) && d.syncs(i.Group) {
		d.Observer.Committed(sent, i)
	}
	if a.Result == phraser.Unprepared && s.Kind == phraser.Execute {
		link.Forget(s.Name)
	}
	return a, nil
}

// commits reports whether a statement of a unit ends in a commit that replicas take part in.
func commits(u Unit, k phraser.Kind) bool {
	return u.Writes && (k == phraser.Write || k == phraser.Execute || k == phraser.Commit)
}

// syncs reports whether a commit of a group waits for a replica.
func (d *Dispatcher) syncs(group string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.groups[group].SyncReplicas > 0
}

// judge decides what an attempt means for the caller.
func (d *Dispatcher) judge(u Unit, i observer.Instance, a phraser.Answer, err error, sent, confirmed bool) (phraser.Answer, bool) {
	if err != nil && u.Writes && sent {
		d.Journal.Request("in-doubt", u.Statement.ID, journaler.Code(coder.OutcomeUnknown), journaler.Instance(i.ID), journaler.Err(err))
		return refuse(phraser.InDoubt, coder.OutcomeUnknown, "the instance did not answer"), true
	}
	if err != nil {
		return phraser.Refuse(phraser.TimedOut, err.Error()), false
	}
	if !confirmed {
		return phraser.Refuse(phraser.Other, "the primary is not confirmed"), false
	}
	if a.Result == phraser.Done {
		return a, true
	}
	if a.Result.DidNotRun() {
		return a, false
	}
	d.Journal.Request("failed", u.Statement.ID, journaler.F("result", a.Result), journaler.Instance(i.ID), journaler.F("detail", a.Detail))
	return a, true
}
