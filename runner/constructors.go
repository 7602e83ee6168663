package runner

import (
	"context"

	"github.com/marigoldgauge/marigoldgauge/acceptor"
	"github.com/marigoldgauge/marigoldgauge/authenticator"
	"github.com/marigoldgauge/marigoldgauge/classifier"
	"github.com/marigoldgauge/marigoldgauge/configurator"
	"github.com/marigoldgauge/marigoldgauge/dumper"
	"github.com/marigoldgauge/marigoldgauge/forwarder"
	"github.com/marigoldgauge/marigoldgauge/keeper"
	"github.com/marigoldgauge/marigoldgauge/loader"
	"github.com/marigoldgauge/marigoldgauge/pooler"
	"github.com/marigoldgauge/marigoldgauge/promoter"
	"github.com/marigoldgauge/marigoldgauge/recorder"
	"github.com/marigoldgauge/marigoldgauge/registrar"
	"github.com/marigoldgauge/marigoldgauge/signer"
)

// constructors returns the constructors of the components of a process, dependencies
// first.
func constructors(s loader.Settings, e Environment) []any {
	return []any{
		func() loader.Settings { return s },
		func() Environment { return e },
		func() *state { return &state{} },
		NewSecurity,
		newStore,
		configurator.NewLog,
		newRecorder,
		newCaller,
		newRegistrar,
		newManager,
		newRouter,
		newAcceptor,
		newPeerServer,
		newDumper,
	}
}

// newStore returns the client of the platform's object store.
func newStore(s loader.Settings, e Environment) *keeper.Client {
	return keeper.New(s.Platform.URL, e.StoreTransport)
}

// newRecorder returns the recorder of decisions.
func newRecorder(e Environment) *recorder.Recorder {
	return recorder.New(e.Log)
}

// newCaller returns the client for requests to other VMs.
func newCaller(e Environment, security Security) *forwarder.Client {
	return forwarder.NewClient(security.dialPeers(e.Dial), e.Clock)
}

// newRegistrar returns the component that maintains fleet membership.
func newRegistrar(s loader.Settings, e Environment, store *keeper.Client, c *forwarder.Client, l *configurator.Log, r *recorder.Recorder) *registrar.Registrar {
	parts := registrar.Dependencies{
		Self: registrar.Member{
			ID:               s.VM.ID,
			Address:          s.Listen.Peers,
			AvailabilityZone: s.VM.AvailabilityZone,
			Incarnation:      e.Incarnation,
		},
		Store:    store,
		Sender:   c,
		Log:      l,
		Clock:    e.Clock,
		Recorder: r,
	}
	for _, seed := range s.Seeds {
		parts.Seeds = append(parts.Seeds, registrar.Member{ID: seed.ID, Address: seed.Address})
	}
	return registrar.New(parts)
}

// newManager returns the manager of the pools, which takes over their ownership.
func newManager(s loader.Settings, e Environment, c *forwarder.Client, reg *registrar.Registrar, l *configurator.Log, r *recorder.Recorder) *pooler.Manager {
	var manager *pooler.Manager
	peers := forwarder.NewPeers(s.VM.ID, c, reg, func(group string) *pooler.Pool { return manager.Pool(group) })
	var pools []*pooler.Pool
	for _, g := range s.Groups {
		pools = append(pools, pooler.New(pooler.Dependencies{
			Settings:      poolSettings(s, g),
			VM:            s.VM.ID,
			Incarnation:   formatIncarnation(e),
			Clock:         e.Clock,
			Dial:          e.Dial,
			Configuration: l,
			Peers:         peers,
			Recorder:      r,
		}))
	}
	manager = pooler.NewManager(s.VM.ID, reg, e.Clock, e.Incarnation, pools)
	return manager
}

// poolSettings returns the settings of the pool of a database group.
func poolSettings(s loader.Settings, g loader.Group) pooler.Settings {
	out := pooler.Settings{
		Name:             g.Name,
		Slots:            g.Slots,
		MaxConnections:   g.Connections,
		User:             s.Endpoints.User,
		Password:         s.Endpoints.Password,
		Database:         s.Endpoints.Database,
		ProbeInterval:    s.Endpoints.ProbeInterval,
		ConnectTimeout:   s.Endpoints.ConnectTimeout,
		StatementTimeout: s.Endpoints.StatementTimeout,
		MaxRateWait:      s.Endpoints.RateWait,
		MaxReplicaWait:   s.Endpoints.ReplicaWait,
		MaxQueueLength:   s.Endpoints.QueueLength,
		Promotion:        promoter.DefaultConfig(),
	}
	for _, i := range g.Instances {
		out.Instances = append(out.Instances, pooler.Instance{ID: i.ID, Address: i.Address})
	}
	return out
}

// newRouter returns the router that finds the owner of a pool.
func newRouter(s loader.Settings, e Environment, c *forwarder.Client, reg *registrar.Registrar, m *pooler.Manager) *forwarder.Router {
	return forwarder.NewRouter(s.VM.ID, c, reg, m.Pool, e.Clock)
}

// workOpener adapts the router to the interface of the acceptor.
type workOpener struct {
	router *forwarder.Router
}

// Open opens a unit of work at the router.
func (o workOpener) Open(a pooler.WorkSpec) acceptor.Work {
	return o.router.Open(a)
}

// cancelForwarder forwards cancel requests to the VM that issued the process number.
type cancelForwarder struct {
	caller    *forwarder.Client
	registrar *registrar.Registrar
	self      string
}

// ForwardCancel forwards a cancel request.
func (c cancelForwarder) ForwardCancel(ctx context.Context, process, secret uint32) {
	for _, m := range c.registrar.Roster().Members {
		if m.ID != c.self && acceptor.IssuedByVM(process, m.ID) {
			c.caller.Cancel(ctx, m.Address, process, secret)
		}
	}
}

// newAcceptor returns the server for clients.
func newAcceptor(s loader.Settings, e Environment, security Security, l *configurator.Log, router *forwarder.Router, r *recorder.Recorder, c *forwarder.Client, reg *registrar.Registrar) *acceptor.Acceptor {
	var secrets []signer.Secret
	for _, secret := range s.Secrets.Sessions {
		secrets = append(secrets, signer.Secret{ID: secret.ID, Value: []byte(secret.Value)})
	}
	return acceptor.New(acceptor.Dependencies{
		Settings: acceptor.Settings{
			VM:                     s.VM.ID,
			TLS:                    security.Callers,
			RequireTLS:             s.Callers.RequireTLS,
			StartupTimeout:         s.Callers.StartupTimeout,
			QueueTimeout:           s.Callers.QueueTimeout,
			IdleTransactionTimeout: s.Callers.IdleTransactionTimeout,
			WriteTimeout:           s.Callers.WriteTimeout,
			WithdrawGrace:          s.Callers.WithdrawGrace,
			MaxMessageBytes:        s.Callers.MaxMessageBytes,
			MaxClients:             s.Callers.MaxConnections,
		},
		Clock:           e.Clock,
		Configuration:   l,
		Opener:          workOpener{router},
		Classifier:      classifier.New(),
		Authenticator:   authenticator.New([]byte(s.Secrets.Decoy)),
		Signer:          signer.New(secrets),
		Recorder:        r,
		CancelForwarder: cancelForwarder{caller: c, registrar: reg, self: s.VM.ID},
	})
}

// newPeerServer returns the server for requests of other VMs.
func newPeerServer(e Environment, l *configurator.Log, m *pooler.Manager, reg *registrar.Registrar, a *acceptor.Acceptor, r *forwarder.Router) *forwarder.Server {
	return forwarder.NewServer(l, m.Pool, reg, a, r, e.Clock)
}

// newDumper returns the HTTP server for operators.
func newDumper(in dumpInputs) *dumper.Server {
	return dumper.New(func() dumper.Dump {
		p := Process{
			Settings: in.Settings, Environment: in.Environment, Store: in.Store, Log: in.Log,
			Registrar: in.Registrar, Manager: in.Manager, Acceptor: in.Acceptor, State: in.State,
		}
		return p.dump()
	}, in.Recorder)
}
