// Package assembler builds a proxy process for a platform from its components and
// runs it. It contains wiring only, no decisions.
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

	"github.com/marigoldgauge/marigoldgauge/authorizer"
	"github.com/marigoldgauge/marigoldgauge/cataloguer"
	"github.com/marigoldgauge/marigoldgauge/delegator"
	"github.com/marigoldgauge/marigoldgauge/dispatcher"
	"github.com/marigoldgauge/marigoldgauge/enroller"
	"github.com/marigoldgauge/marigoldgauge/gossiper"
	"github.com/marigoldgauge/marigoldgauge/journaler"
	"github.com/marigoldgauge/marigoldgauge/leaser"
	"github.com/marigoldgauge/marigoldgauge/measurer"
	"github.com/marigoldgauge/marigoldgauge/observer"
	"github.com/marigoldgauge/marigoldgauge/renewer"
	"github.com/marigoldgauge/marigoldgauge/sessioner"
	"github.com/marigoldgauge/marigoldgauge/switcher"
	"github.com/marigoldgauge/marigoldgauge/throttler"
	"github.com/marigoldgauge/marigoldgauge/versioner"
)

// Proxy is one proxy process.
type Proxy struct {
	dig.In

	Parts      Dependencies
	Journal    *journaler.Journaler
	Measurer   *measurer.Measurer
	Catalogue  *cataloguer.Holder
	Authorizer *authorizer.Authorizer
	Verifiers  *verifiers
	Observer   *observer.Observer
	Sharer     *throttler.Throttler
	Dispatcher *dispatcher.Dispatcher
	Holders    *delegator.HolderSelector
	Delegator  *delegator.Delegator
	UnitServer *delegator.Server
	Sessions   *sessioner.Server
	Gossiper   *gossiper.Gossiper
	Enroller   *enroller.Enroller
	Leaser     *leaser.Leaser
	Voucher    *renewer.Renewer
	Switcher   *switcher.Switcher
	State      *state
}

// state is the state that the components of a process share.
type state struct {
	incarnation    uint64
	startedAt      time.Time
	instancesKnown atomic.Bool
	// applyMu is held while a configuration or a list of instances is applied.
	applyMu          sync.Mutex
	storeUnreachable atomic.Bool
	// storeRecoveredAt is when the store last became reachable again, in Unix nanoseconds.
	storeRecoveredAt atomic.Int64
	// storeAnsweredAt is when the store last answered this VM, in Unix nanoseconds; 0 before
	// its first answer.
	storeAnsweredAt atomic.Int64
	instances       *observer.InstanceList
	// listing is the list of instances as the store holds it; listingChange is the revision
	// of its last relevant change. instanceIDs holds the ids of its valid instances, by key,
	// under applyMu.
	listing       *versioner.List
	listingChange atomic.Uint64
	instanceIDs   map[string]string
	// listingResponses holds compressed changes of the list for other VMs.
	listingResponses *listingResponses
	// standby reports that this VM may have to replace primaries.
	standby atomic.Bool
	// watchesStore reports that this VM watches the store.
	watchesStore atomic.Bool
	// laterCatalogue receives the VM that announces a later configuration to this one,
	// which does not watch the store.
	laterCatalogue chan gossiper.Peer
	// bodies holds the last configurations for other VMs.
	bodies *bodies
	// peerClient is the HTTP client for other VMs.
	peerClient *http.Client
}

const (
	// httpHeaderTimeout bounds the reading of the request header of a peer, an operator or
	// the platform.
	httpHeaderTimeout = 5 * time.Second
	// housekeepingInterval is the interval at which idle connections are closed.
	housekeepingInterval = time.Second
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
	p.Journal.LogStateChange("started", journaler.F("vm", s.VM.ID), journaler.F("incarnation", p.State.incarnation),
		journaler.F("availability-zone", s.VM.AvailabilityZone), journaler.F("callers", s.Listen.Callers))
	for _, task := range p.backgroundTasks() {
		group.Go(func() error { return task(running) })
	}
	group.Go(func() error { return p.accept(running, p.Parts.Accountant.Listener(callers, callersPurpose)) })
	group.Go(func() error {
		<-running.Done()
		return callers.Close()
	})
	group.Go(func() error {
		select {
		case <-ctx.Done():
			p.drain(running)
		case <-running.Done():
		}
		stop()
		return nil
	})
	err = group.Wait()
	p.logError("connections-not-closed", s.VM.ID, p.Delegator.Close())
	p.Dispatcher.Close()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// backgroundTasks returns the background tasks of the process.
func (p *Proxy) backgroundTasks() []func(ctx context.Context) error {
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
		p.logTraffic,
		p.reload,
		func(ctx context.Context) error {
			return p.serve(ctx, s.Listen.Ready, p.Parts.Adapter.ReadinessHandler(p.ready))
		},
		func(ctx context.Context) error { return p.serve(ctx, s.Listen.Peers, p.peerHandler()) },
		p.serveUnits,
		p.serveMetrics,
		func(ctx context.Context) error { return p.serve(ctx, s.Listen.Operators, p.operatorHandler()) },
	}
}

// drain refuses new work and drains the sessions.
func (p *Proxy) drain(ctx context.Context) {
	p.Journal.LogStateChange("leaving", journaler.F("sessions", p.Sessions.Sessions()))
	p.UnitServer.StopAccepting()
	p.Gossiper.SendNow()
	p.Sessions.Drain(ctx, p.UnitServer.Active)
	p.Journal.LogStateChange("stopped", journaler.F("sessions", p.Sessions.Sessions()))
}

// serveUnits runs the units of work of other VMs.
func (p *Proxy) serveUnits(ctx context.Context) error {
	l, err := p.Parts.Listen(delegator.UnitsAddress(p.Parts.Settings.Listen.Peers))
	if err != nil {
		return eris.Wrap(err, "listening for units of work")
	}
	return p.UnitServer.Serve(ctx, p.Parts.Accountant.Listener(l, unitsPurpose))
}

// serveMetrics serves the metrics at their own address, if one is set. A failure
// to listen there is logged and does not stop the process.
func (p *Proxy) serveMetrics(ctx context.Context) error {
	at := p.Parts.Settings.Listen.Metrics
	if !at.IsValid() {
		return nil
	}
	mux := http.NewServeMux()
	mux.HandleFunc(metricsPath, p.writeMetrics)
	p.logError("metrics-not-served", p.Parts.Settings.VM.ID, p.serve(ctx, at, mux))
	return nil
}

// ready reports whether the VM accepts clients.
func (p *Proxy) ready() bool {
	return !p.Sessions.Leaving() && p.Catalogue.Current() != nil && p.State.instancesKnown.Load()
}

// accept accepts client connections until ctx ends.
func (p *Proxy) accept(ctx context.Context, l net.Listener) error {
	for {
		c, err := l.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			p.Journal.LogStateChange("accept-failed", journaler.Err(err))
			// Most likely the process is out of descriptors; some are freed soon.
			time.Sleep(acceptRetryDelay)
			continue
		}
		if p.Sessions.Sessions() >= p.maxSessions() {
			p.Journal.LogStateChange("caller-turned-away", journaler.F("sessions", p.Sessions.Sessions()))
			_ = c.Close()
			continue
		}
		p.Sessions.Serve(ctx, p.Parts.Adapter.NewClient(c))
	}
}

const (
	// acceptRetryDelay is the delay after a failed accept.
	acceptRetryDelay = 50 * time.Millisecond
	// clientDescriptorFraction is the fraction of the file descriptors that clients may use.
	clientDescriptorFraction = 0.8
	// defaultDescriptors is the number of file descriptors if the settings name none.
	defaultDescriptors = 1024
)

// maxSessions returns the maximum number of client sessions of the VM.
func (p *Proxy) maxSessions() int {
	n := p.Parts.Settings.VM.Descriptors
	if n <= 0 {
		n = defaultDescriptors
	}
	return int(clientDescriptorFraction * float64(n))
}

// housekeep closes idle connections and drops instances that stay missing from the list.
func (p *Proxy) housekeep(ctx context.Context) error {
	ticker := time.NewTicker(housekeepingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			p.Dispatcher.CloseIdle(p.Parts.Clock.Now())
			p.dropUnlisted()
		case <-ctx.Done():
			return nil
		}
	}
}

// dropUnlisted drops the instances that stay missing from the list.
func (p *Proxy) dropUnlisted() {
	// Without the lock, the Observer could receive these changes after later ones.
	p.State.applyMu.Lock()
	defer p.State.applyMu.Unlock()
	if p.State.instances.HasUnlisted() {
		p.updateInstances()
	}
}

// serve serves HTTP at an address until ctx ends.
func (p *Proxy) serve(ctx context.Context, address netip.AddrPort, h http.Handler) error {
	l, err := p.Parts.Listen(address)
	if err != nil {
		return eris.Wrapf(err, "listening at %s", address)
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: httpHeaderTimeout}
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
