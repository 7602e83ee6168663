// Package runner builds a proxy process from its settings and runs its tasks.
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
	"github.com/marigoldgauge/marigoldgauge/configurator"
	"github.com/marigoldgauge/marigoldgauge/dumper"
	"github.com/marigoldgauge/marigoldgauge/forwarder"
	"github.com/marigoldgauge/marigoldgauge/keeper"
	"github.com/marigoldgauge/marigoldgauge/loader"
	"github.com/marigoldgauge/marigoldgauge/pooler"
	"github.com/marigoldgauge/marigoldgauge/recorder"
	"github.com/marigoldgauge/marigoldgauge/registrar"
)

// Process is one proxy process of the fleet with its components.
type Process struct {
	dig.In

	Settings    loader.Settings
	Environment Environment
	Security    Security
	Store       *keeper.Client
	Log         *configurator.Log
	Recorder    *recorder.Recorder
	Caller      *forwarder.Client
	Registrar   *registrar.Registrar
	Manager     *pooler.Manager
	Router      *forwarder.Router
	Acceptor    *acceptor.Acceptor
	Peers       *forwarder.Server
	Dumper      *dumper.Server
	State       *state
}

// state is the mutable state of a running process.
type state struct {
	leaving atomic.Bool
}

// New returns a process built from its settings and environment.
func New(s loader.Settings, e Environment) (*Process, error) {
	c := dig.New()
	for _, constructor := range constructors(s, e) {
		if err := c.Provide(constructor); err != nil {
			return nil, eris.Wrap(err, "registering the constructors of the process")
		}
	}
	var p Process
	if err := c.Invoke(func(in Process) { p = in }); err != nil {
		return nil, eris.Wrap(dig.RootCause(err), "building the process")
	}
	return &p, nil
}

// tasks returns the tasks of the process: the internal ones first, and the server for
// clients last.
func (p *Process) tasks() []Task {
	s := p.Settings.Listen
	return []Task{
		namedTask{"serve other VMs", p.listenAndServe(s.Peers.String(), func() (net.Listener, error) { return p.listenPeers() }, p.Peers.Serve)},
		namedTask{"maintain fleet membership", p.Registrar.Run},
		namedTask{"manage pool ownership", p.Manager.Run},
		namedTask{"detect unresponsive pool owners", p.Router.MonitorVMs},
		namedTask{"abandon work on lost VMs", p.abandonLostWork},
		namedTask{"serve operators", p.listenAndServe(s.Operators.String(), func() (net.Listener, error) { return p.Environment.Listen(s.Operators) }, p.Dumper.Serve)},
		namedTask{"serve clients", p.listenAndServe(s.Callers.String(), func() (net.Listener, error) { return p.Environment.Listen(s.Callers) }, p.Acceptor.Serve)},
	}
}

// listenAndServe returns a function that opens a listener and serves it.
func (p *Process) listenAndServe(addr string, listen func() (net.Listener, error), serve func(context.Context, net.Listener) error) func(context.Context) error {
	return func(ctx context.Context) error {
		l, err := listen()
		if err != nil {
			return eris.Wrapf(err, "listening on %s", addr)
		}
		return serve(ctx, l)
	}
}

// listenPeers opens the listener for other VMs.
func (p *Process) listenPeers() (net.Listener, error) {
	l, err := p.Environment.Listen(p.Settings.Listen.Peers)
	if err != nil {
		return nil, err
	}
	return p.Security.listenPeers(l), nil
}

// Run runs all tasks until ctx ends. It then stops without finishing any work, as in
// a crash; call Drain first for a graceful shutdown.
func (p *Process) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, t := range p.tasks() {
		group.Go(func() error {
			return eris.Wrap(t.Run(ctx), t.String())
		})
	}
	err := group.Wait()
	_ = p.Caller.Close()
	return err
}

// drainPollInterval is the interval at which Drain checks for remaining work.
const drainPollInterval = 50 * time.Millisecond

// Drain stops accepting work, hands over the pools, lets clients finish, and returns
// when no work is left or the drain timeout has passed.
func (p *Process) Drain(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, p.Settings.Callers.DrainTimeout)
	defer cancel()
	p.State.leaving.Store(true)
	p.Registrar.Leave()
	p.Peers.StopRelaying()
	p.Recorder.Record(recorder.Event{At: p.Environment.Clock.Now(), Kind: "drain", Subject: p.Settings.VM.ID, Reason: "asked to stop"})
	p.Acceptor.Drain(ctx)
	if !p.waitIdle(ctx) {
		return
	}
	p.awaitLeavePropagation(ctx)
	p.waitIdle(ctx)
}

// waitIdle waits until no pool is busy and no work of other VMs is left, and reports
// whether that was so before ctx ended.
func (p *Process) waitIdle(ctx context.Context) bool {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for p.Manager.Busy() || p.Peers.ActiveWork() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// awaitLeavePropagation keeps serving until the other VMs have learned that this VM
// is leaving: a request that arrives after the process has ended would have an unknown
// outcome.
func (p *Process) awaitLeavePropagation(ctx context.Context) {
	timer := time.NewTimer(leavePropagationIntervals * registrar.HeartbeatInterval(len(p.Registrar.Roster().Members)))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// leavePropagationIntervals is the number of heartbeat intervals after which all VMs
// know that a VM is leaving.
const leavePropagationIntervals = 3

// abandonLostWork abandons the work on VMs that left the roster without announcing it.
func (p *Process) abandonLostWork(ctx context.Context) error {
	for {
		changed := p.Registrar.Changed()
		p.Router.CancelRemoved(p.Registrar.Roster())
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
		Callers:               p.Acceptor.ClientCount(),
		CallersByOrganisation: p.Acceptor.ClientsByOrganisation(),
		Statements: dumper.StatementCounts{
			Answered:     c.Batches.Load(),
			ReplicaReads: c.ReplicaReads.Load(),
			PrimaryReads: c.PrimaryReads.Load(),
			Writes:       c.Writes.Load(),
			Refused:      c.RefusedRequests.Load(),
			Unknown:      c.UnknownOutcomes.Load(),
			Rejected:     c.RejectedClients.Load(),
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

// formatIncarnation returns the incarnation as text.
func formatIncarnation(e Environment) string {
	return strconv.FormatUint(e.Incarnation, 10)
}
