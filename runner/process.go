// Package runner builds a process from its settings and runs its duties.
package runner

import (
	"context"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/dig"
	"golang.org/x/sync/errgroup"

	"github.com/marigoldgauge/marigoldgauge/acceptor"
	"github.com/marigoldgauge/marigoldgauge/dumper"
	"github.com/marigoldgauge/marigoldgauge/explainer"
	"github.com/marigoldgauge/marigoldgauge/forwarder"
	"github.com/marigoldgauge/marigoldgauge/governor"
	"github.com/marigoldgauge/marigoldgauge/keeper"
	"github.com/marigoldgauge/marigoldgauge/loader"
	"github.com/marigoldgauge/marigoldgauge/pooler"
	"github.com/marigoldgauge/marigoldgauge/registrar"
)

// Process is one process of the fleet.
type Process struct {
	dig.In

	Settings    loader.Settings
	Environment Environment
	Security    Security
	Store       *keeper.Client
	Log         *governor.Log
	Recorder    *explainer.Recorder
	Caller      *forwarder.Caller
	Registrar   *registrar.Registrar
	Manager     *pooler.Manager
	Router      *forwarder.Router
	Acceptor    *acceptor.Acceptor
	Peers       *forwarder.Server
	Dumper      *dumper.Server
	State       *state
}

// state is what changes while a process runs.
type state struct {
	leaving atomic.Bool
}

// New builds a process.
func New(s loader.Settings, e Environment) (*Process, error) {
	c := dig.New()
	for _, constructor := range constructors(s, e) {
		if err := c.Provide(constructor); err != nil {
			return nil, eris.Wrap(err, "putting the process together")
		}
	}
	var p Process
	if err := c.Invoke(func(in Process) { p = in }); err != nil {
		return nil, eris.Wrap(dig.RootCause(err), "building the process")
	}
	return &p, nil
}

// duties lists what the process does, from the inside out.
func (p *Process) duties() []Duty {
	s := p.Settings.Listen
	return []Duty{
		duty{"serve the other VMs", p.listening(s.Peers.String(), func() (net.Listener, error) { return p.listenPeers() }, p.Peers.Serve)},
		duty{"take part in the cell", p.Registrar.Run},
		duty{"own pools", p.Manager.Run},
		duty{"pass over silent owners", p.Router.Watch},
		duty{"break off the work at VMs that are gone", p.abandon},
		duty{"serve operators", p.listening(s.Operators.String(), func() (net.Listener, error) { return p.Environment.Listen(s.Operators) }, p.Dumper.Serve)},
		duty{"serve callers", p.listening(s.Callers.String(), func() (net.Listener, error) { return p.Environment.Listen(s.Callers) }, p.Acceptor.Serve)},
	}
}

// listening returns a duty that serves a listener.
func (p *Process) listening(addr string, listen func() (net.Listener, error), serve func(context.Context, net.Listener) error) func(context.Context) error {
	return func(ctx context.Context) error {
		l, err := listen()
		if err != nil {
			return eris.Wrapf(err, "listening at %s", addr)
		}
		return serve(ctx, l)
	}
}

// listenPeers opens the listener for the other VMs.
func (p *Process) listenPeers() (net.Listener, error) {
	l, err := p.Environment.Listen(p.Settings.Listen.Peers)
	if err != nil {
		return nil, err
	}
	return p.Security.listenPeers(l), nil
}

// Run does all duties until ctx ends; then nothing is finished, as when the
// process dies. Drain first for a graceful stop.
func (p *Process) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, d := range p.duties() {
		group.Go(func() error {
			return eris.Wrap(d.Run(ctx), d.String())
		})
	}
	err := group.Wait()
	_ = p.Caller.Close()
	return err
}

// drainPoll is the time between two looks at the work that is left.
const drainPoll = 50 * time.Millisecond

// Drain takes no more work, hands the pools over, lets callers finish, and
// returns when nothing is left or the drain timeout has passed.
func (p *Process) Drain(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, p.Settings.Callers.DrainTimeout)
	defer cancel()
	p.State.leaving.Store(true)
	p.Registrar.Leave()
	p.Peers.Leave()
	p.Recorder.Record(explainer.Event{At: p.Environment.Clock.Now(), Kind: "drain", Subject: p.Settings.VM.ID, Reason: "asked to stop"})
	p.Acceptor.Drain(ctx)
	if !p.finish(ctx) {
		return
	}
	p.linger(ctx)
	p.finish(ctx)
}

// finish waits until no pool and no other VM has work here, and reports whether
// that came before ctx ended.
func (p *Process) finish(ctx context.Context) bool {
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for p.Manager.Busy() || p.Peers.Active() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// linger answers for as long as others may not have heard yet that this VM is
// leaving: a request that arrives after its end would have an unknown outcome.
func (p *Process) linger(ctx context.Context) {
	timer := time.NewTimer(lingerIntervals * registrar.HeartbeatInterval(len(p.Registrar.Roster().Members)))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// lingerIntervals is the number of heartbeats in which a farewell has spread.
const lingerIntervals = 3

// abandon breaks off the work at VMs that left the roster without a farewell.
func (p *Process) abandon(ctx context.Context) error {
	for {
		changed := p.Registrar.Changed()
		p.Router.Abandon(p.Registrar.Roster())
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}

// dump returns the state of the process.
func (p *Process) dump() dumper.Dump {
	c := p.Acceptor.Counters()
	d := dumper.Dump{
		VM:                    p.Settings.VM.ID,
		Incarnation:           p.Environment.Incarnation,
		Leaving:               p.State.leaving.Load(),
		Generation:            p.Log.Index().Generation(),
		Coordinator:           p.Registrar.Coordinator(),
		Roster:                p.Registrar.Roster(),
		StoreCalls:            p.Store.CallCounts(),
		Callers:               p.Acceptor.Callers(),
		CallersByOrganisation: p.Acceptor.CallersOf(),
		Statements: dumper.Statements{
			Answered:     c.Statements.Load(),
			ReplicaReads: c.ReplicaReads.Load(),
			PrimaryReads: c.PrimaryReads.Load(),
			Writes:       c.Writes.Load(),
			Refused:      c.Refused.Load(),
			Unknown:      c.Unknown.Load(),
			Rejected:     c.Rejected.Load(),
		},
	}
	for _, pool := range p.Manager.Pools() {
		d.Pools = append(d.Pools, pool.Dump())
	}
	return d
}

// Dump returns the state of the process.
func (p *Process) Dump() dumper.Dump {
	return p.dump()
}

// incarnation writes the incarnation as text.
func incarnation(e Environment) string {
	return strconv.FormatUint(e.Incarnation, 10)
}
