// Package assembler builds a proxy process for a platform out of its parts and
// runs it. It decides nothing.
package assembler

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/dig"
	"golang.org/x/sync/errgroup"

	"github.com/marigoldgauge/marigoldgauge/cataloguer"
	"github.com/marigoldgauge/marigoldgauge/delegator"
	"github.com/marigoldgauge/marigoldgauge/dispatcher"
	"github.com/marigoldgauge/marigoldgauge/gossiper"
	"github.com/marigoldgauge/marigoldgauge/journaler"
	"github.com/marigoldgauge/marigoldgauge/leaser"
	"github.com/marigoldgauge/marigoldgauge/measurer"
	"github.com/marigoldgauge/marigoldgauge/observer"
	"github.com/marigoldgauge/marigoldgauge/sessioner"
	"github.com/marigoldgauge/marigoldgauge/sharer"
	"github.com/marigoldgauge/marigoldgauge/switcher"
	"github.com/marigoldgauge/marigoldgauge/voucher"
)

// Proxy is one process.
type Proxy struct {
	dig.In

	Parts      Parts
	Journal    *journaler.Journaler
	Measurer   *measurer.Measurer
	Catalogue  *cataloguer.Holder
	Observer   *observer.Observer
	Sharer     *sharer.Sharer
	Dispatcher *dispatcher.Dispatcher
	Ranking    *delegator.HolderSelector
	Delegator  *delegator.Delegator
	Units      *delegator.Server
	Sessions   *sessioner.Server
	Gossiper   *gossiper.Gossiper
	Leaser     *leaser.Leaser
	Voucher    *voucher.Voucher
	Switcher   *switcher.Switcher
	State      *state
}

// state is what the parts of a process tell each other.
type state struct {
	incarnation uint64
	started     time.Time
	instances   atomic.Bool
	// taking is held while a configuration or a list of instances is put in force.
	taking    sync.Mutex
	storeLost atomic.Bool
	// storeRegained is when the store last answered again, in Unix nanoseconds.
	storeRegained atomic.Int64
	roll          *observer.Roll
	// seen is the store's revision of the list of instances, and listing that of
	// its last change that matters; watches reports that this VM watches the store
	// itself.
	seen    atomic.Uint64
	listing atomic.Uint64
	watches atomic.Bool
	objects atomic.Pointer[listing]
	// packed is the configuration in force, for other VMs.
	packed atomic.Pointer[[]byte]
	// peers fetches from other VMs.
	peers *http.Client
}

const (
	// httpWithin bounds the request of a peer, an operator or the platform.
	httpWithin = 5 * time.Second
	// housekeepEvery is how often idle connections are looked for.
	housekeepEvery = time.Second
)

// Run runs the process until ctx ends, drains it, and returns.
func (p *Proxy) Run(ctx context.Context) error {
	s := p.Parts.Settings
	callers, err := p.Parts.Listen(s.Listen.Callers)
	if err != nil {
		return eris.Wrap(err, "listening for callers")
	}
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, running := errgroup.WithContext(running)
	p.Journal.Belief("started", journaler.F("vm", s.VM.ID), journaler.F("incarnation", p.State.incarnation),
		journaler.F("availability-zone", s.VM.AvailabilityZone), journaler.F("callers", s.Listen.Callers))
	for _, duty := range p.duties() {
		group.Go(func() error { return duty(running) })
	}
	group.Go(func() error { return p.accept(running, callers) })
	group.Go(func() error {
		<-running.Done()
		return callers.Close()
	})
	group.Go(func() error {
		select {
		case <-ctx.Done():
			p.leave(running)
		case <-running.Done():
		}
		stop()
		return nil
	})
	err = group.Wait()
	p.note("connections-not-closed", s.VM.ID, p.Delegator.Close())
	p.Dispatcher.Close()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// duties are what the process does for as long as it runs.
func (p *Proxy) duties() []func(ctx context.Context) error {
	s := p.Parts.Settings
	return []func(ctx context.Context) error{
		p.Journal.Run,
		p.followCatalogue,
		p.followInstances,
		p.catchUp,
		p.register,
		p.Gossiper.Run,
		p.Voucher.Run,
		p.Switcher.Run,
		p.housekeep,
		p.reload,
		func(ctx context.Context) error {
			return p.serve(ctx, s.Listen.Ready, p.Parts.Adapter.Ready(p.ready))
		},
		func(ctx context.Context) error { return p.serve(ctx, s.Listen.Peers, p.peerHandler()) },
		p.serveUnits,
		p.serveMetrics,
		func(ctx context.Context) error { return p.serve(ctx, s.Listen.Operators, p.operatorHandler()) },
	}
}

// leave drains the process.
func (p *Proxy) leave(ctx context.Context) {
	p.Journal.Belief("leaving", journaler.F("sessions", p.Sessions.Sessions()))
	p.Units.StopAccepting()
	p.Gossiper.Hurry()
	p.Sessions.Drain(ctx, p.Units.Active)
	p.Journal.Belief("stopped", journaler.F("sessions", p.Sessions.Sessions()))
}

// serveUnits runs the units of work of other VMs.
func (p *Proxy) serveUnits(ctx context.Context) error {
	l, err := p.Parts.Listen(delegator.UnitsAddress(p.Parts.Settings.Listen.Peers))
	if err != nil {
		return eris.Wrap(err, "listening for units of work")
	}
	return p.Units.Serve(ctx, l)
}

// serveMetrics serves the metrics at their own address, if there is one. Callers
// are served whether it can be had or not.
func (p *Proxy) serveMetrics(ctx context.Context) error {
	at := p.Parts.Settings.Listen.Metrics
	if !at.IsValid() {
		return nil
	}
	mux := http.NewServeMux()
	mux.HandleFunc(metricsPath, p.writeMetrics)
	p.note("metrics-not-served", p.Parts.Settings.VM.ID, p.serve(ctx, at, mux))
	return nil
}

// ready reports whether the VM takes callers.
func (p *Proxy) ready() bool {
	return !p.Sessions.Leaving() && p.Catalogue.Current() != nil && p.State.instances.Load()
}

// accept takes callers until ctx ends.
func (p *Proxy) accept(ctx context.Context, l net.Listener) error {
	for {
		c, err := l.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			p.Journal.Belief("accept-failed", journaler.Err(err))
			// Out of descriptors, most likely: some will be free again soon.
			time.Sleep(acceptPause)
			continue
		}
		if p.Sessions.Sessions() >= p.mostSessions() {
			p.Journal.Belief("caller-turned-away", journaler.F("sessions", p.Sessions.Sessions()))
			_ = c.Close()
			continue
		}
		p.Sessions.Serve(ctx, p.Parts.Adapter.Caller(c))
	}
}

const (
	// acceptPause is the pause after a connection could not be accepted.
	acceptPause = 50 * time.Millisecond
	// callersPart is the part of the descriptors that callers may use.
	callersPart = 0.8
	// defaultDescriptors is assumed where the settings name no number.
	defaultDescriptors = 1024
)

// mostSessions returns the number of callers that the VM takes.
func (p *Proxy) mostSessions() int {
	n := p.Parts.Settings.VM.Descriptors
	if n <= 0 {
		n = defaultDescriptors
	}
	return int(callersPart * float64(n))
}

// housekeep closes what is no longer used.
func (p *Proxy) housekeep(ctx context.Context) error {
	ticker := time.NewTicker(housekeepEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			p.Dispatcher.Sweep(p.Parts.Clock.Now())
			p.takeInstances()
		case <-ctx.Done():
			return nil
		}
	}
}

// serve serves HTTP at an address until ctx ends.
func (p *Proxy) serve(ctx context.Context, address netip.AddrPort, h http.Handler) error {
	l, err := p.Parts.Listen(address)
	if err != nil {
		return eris.Wrapf(err, "listening at %s", address)
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: httpWithin}
	var group errgroup.Group
	group.Go(func() error {
		<-ctx.Done()
		return server.Close()
	})
	group.Go(func() error {
		err := server.Serve(l)
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return eris.Wrapf(err, "serving at %s", address)
	})
	return group.Wait()
}
