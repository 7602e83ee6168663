// Package stager puts a small fleet on stand-ins: a platform, database groups
// and VMs in one process, for the demonstration and for tests.
package stager

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/marigoldgauge/marigoldgauge/authenticator"
	"github.com/marigoldgauge/marigoldgauge/clocker"
	"github.com/marigoldgauge/marigoldgauge/endpointfaker"
	"github.com/marigoldgauge/marigoldgauge/governor"
	"github.com/marigoldgauge/marigoldgauge/keeper"
	"github.com/marigoldgauge/marigoldgauge/loader"
	"github.com/marigoldgauge/marigoldgauge/runner"
	"github.com/marigoldgauge/marigoldgauge/storefaker"
	"github.com/marigoldgauge/marigoldgauge/wirefaker"
)

const (
	// platformPlace is the place of the platform in the network.
	platformPlace = "platform"
	// CallerPlace is the place of the callers in the network.
	CallerPlace = "callers"
	// peerPort is the port for the other VMs.
	peerPort = 7400
	// operatorPort is the port for operators.
	operatorPort = 7500
	// callerPort is the port for callers.
	callerPort = 5432
	// endpointPort is the port of the endpoints.
	endpointPort = 5432
)

// Options change how a fleet is staged.
type Options struct {
	// Clock tells the present time; nil is the standard clock.
	Clock clocker.Clock
	// Log takes the logs of all VMs; nil is nowhere.
	Log log.Interface
	// ListenCallers opens a second listener for callers of a VM; nil is none.
	ListenCallers func(vm string) (net.Listener, error)
	// ListenPlatform opens a second listener of the platform; nil is none.
	ListenPlatform func() (net.Listener, error)
	// OnExecute is told of every execution at an endpoint; nil is nobody.
	OnExecute func(group string, e endpointfaker.Execution)
	// RealEndpoints gives the listeners of the first group's instances; nil is in memory.
	RealEndpoints func(n int) net.Listener
	// Settings changes the settings of a VM before it starts; nil leaves them.
	Settings func(s *loader.Settings)
}

// Fleet is a staged fleet.
type Fleet struct {
	// Deployment is what was staged.
	Deployment Deployment
	// Network joins the places.
	Network *wirefaker.Network
	// Store is the platform.
	Store *storefaker.Server
	// Groups are the database groups.
	Groups []*endpointfaker.Group
	// Keys are the secrets of the first key of each organisation, whose
	// identifier is the organisation's name with "-key" behind it.
	Keys map[string]string

	options Options
	group   *errgroup.Group
	ctx     context.Context
	cancel  context.CancelFunc

	mu          sync.Mutex
	vms         []*VM
	zones       map[string]int
	incarnation uint64
}

// VM is one VM of a staged fleet.
type VM struct {
	// ID names the VM, and its place in the network.
	ID string
	// AvailabilityZone is where it runs.
	AvailabilityZone string
	// Process is the process that runs there.
	Process *runner.Process
	// Callers is the address for callers.
	Callers netip.AddrPort

	cancel context.CancelFunc
	done   chan struct{}
}

// New returns a fleet that has not started.
func New(d Deployment, o Options) *Fleet {
	f := &Fleet{Deployment: d, Store: storefaker.New(), Keys: map[string]string{}, options: o, zones: map[string]int{}}
	if f.options.Clock == nil {
		f.options.Clock = clocker.Func(time.Now)
	}
	f.Network = wirefaker.New(f.latency)
	for n, name := range d.Groups {
		f.Groups = append(f.Groups, f.newGroup(n, name))
	}
	return f
}

// latency returns the latency one way between two places.
func (f *Fleet) latency(from, to string) time.Duration {
	if from == CallerPlace || to == CallerPlace {
		return f.Deployment.ToCallers
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	a, b := f.zones[from], f.zones[to]
	regions := f.Deployment.Regions
	switch {
	case from == to:
		return 20 * time.Microsecond
	case a == b:
		return 200 * time.Microsecond
	case len(regions) > max(a, b) && regions[a] == regions[b]:
		return f.Deployment.BetweenZones
	default:
		return f.Deployment.BetweenRegions
	}
}

// newGroup returns a database group with an instance in each availability zone.
func (f *Fleet) newGroup(n int, name string) *endpointfaker.Group {
	o := endpointfaker.Options{
		Name:         name,
		Slots:        f.Deployment.Slots,
		Connections:  f.Deployment.Connections,
		ConnectDelay: f.Deployment.ConnectDelay,
		ServiceTime:  f.Deployment.ServiceTime,
		Lag:          f.Deployment.Lag,
		Reaches:      f.Network.Reaches,
	}
	if hook := f.options.OnExecute; hook != nil {
		o.OnExecute = func(e endpointfaker.Execution) { hook(name, e) }
	}
	zones := len(f.Deployment.AvailabilityZones)
	for i := range 3 {
		id := fmt.Sprintf("%s-%c", name, 'a'+i)
		f.zones[id] = (n + i) % zones
		o.Instances = append(o.Instances, endpointfaker.InstanceOptions{
			ID:      id,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 2, byte(n), byte(i + 1)}), endpointPort),
		})
	}
	return endpointfaker.New(o)
}

// Start starts the platform, the endpoints and all VMs, and brings the
// deployment's configuration in force.
func (f *Fleet) Start(ctx context.Context) error {
	f.ctx, f.cancel = context.WithCancel(ctx)
	f.group = &errgroup.Group{}
	if err := f.startPlatform(); err != nil {
		return err
	}
	for _, g := range f.Groups {
		if err := f.startGroup(g); err != nil {
			return err
		}
	}
	if err := f.configure(); err != nil {
		return err
	}
	for n := range f.Deployment.VMs {
		if _, err := f.StartVM(fmt.Sprintf("vm-%d", n+1)); err != nil {
			return err
		}
	}
	return nil
}

// Stop stops everything and waits.
func (f *Fleet) Stop() {
	f.cancel()
	_ = f.group.Wait()
}

// startPlatform starts the stand-in of the platform.
func (f *Fleet) startPlatform() error {
	l, err := f.Network.Listen(platformPlace, platformAddress)
	if err != nil {
		return err
	}
	listeners := []net.Listener{l}
	if f.options.ListenPlatform != nil {
		outside, err := f.options.ListenPlatform()
		if err != nil {
			return err
		}
		listeners = append(listeners, outside)
	}
	server := &http.Server{Handler: f.Store, ReadHeaderTimeout: time.Minute}
	for _, l := range listeners {
		f.group.Go(func() error {
			_ = server.Serve(l)
			return nil
		})
	}
	f.group.Go(func() error {
		<-f.ctx.Done()
		return server.Close()
	})
	return nil
}

// platformAddress is where the VMs reach the platform.
var platformAddress = netip.MustParseAddrPort("127.3.0.1:8400")

// startGroup starts the endpoints of a group.
func (f *Fleet) startGroup(g *endpointfaker.Group) error {
	for n, i := range g.Instances() {
		l, err := f.listenEndpoint(g, n)
		if err != nil {
			return err
		}
		f.group.Go(func() error { return i.Serve(f.ctx, l) })
	}
	f.group.Go(func() error { return g.Replicate(f.ctx) })
	return nil
}

// listenEndpoint opens the listener of the n-th instance of a group.
func (f *Fleet) listenEndpoint(g *endpointfaker.Group, n int) (net.Listener, error) {
	if f.options.RealEndpoints != nil && g == f.Groups[0] {
		return f.options.RealEndpoints(n), nil
	}
	return f.Network.Listen(g.Instances()[n].ID(), f.address(g, n))
}

// address returns the address of the n-th instance of a group.
func (f *Fleet) address(g *endpointfaker.Group, n int) netip.AddrPort {
	for i := range f.Groups {
		if f.Groups[i] == g {
			return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 2, byte(i), byte(n + 1)}), endpointPort)
		}
	}
	return netip.AddrPort{}
}

// Client returns a client of the platform's store at a place.
func (f *Fleet) Client(place string) *keeper.Client {
	return keeper.New("http://"+platformAddress.String(), f.transport(place))
}

// transport returns what carries HTTP from a place.
func (f *Fleet) transport(place string) *http.Transport {
	return &http.Transport{DialContext: f.Network.Dialer(place), IdleConnTimeout: time.Second}
}

// configure brings the deployment's configuration and a key for each
// organisation in force.
func (f *Fleet) configure() error {
	edits := f.Deployment.Edits()
	for _, p := range f.Deployment.Organisations {
		secret := authenticator.NewSecret()
		key, err := authenticator.Verifier(KeyID(p.Name), secret)
		if err != nil {
			return err
		}
		f.Keys[p.Name] = secret
		edits = append(edits, governor.Edit{Kind: governor.AddKey, Object: p.Name, Key: &key})
	}
	_, err := f.Change("initial", edits)
	return err
}

// KeyID returns the identifier of an organisation's first key.
func KeyID(organisation string) string {
	return organisation + "-key"
}

// Change proposes and accepts a change as an operator.
func (f *Fleet) Change(id string, edits []governor.Edit) (governor.Change, error) {
	transport := f.transport(platformPlace)
	defer transport.CloseIdleConnections()
	board := governor.NewBoard(keeper.New("http://"+platformAddress.String(), transport))
	now := f.options.Clock.Now()
	if _, err := board.Propose(f.ctx, governor.Change{ID: id, Proposer: "operator", Proposed: now, Edits: edits}); err != nil {
		return governor.Change{}, eris.Wrap(err, "proposing a change")
	}
	c, err := board.Accept(f.ctx, id, "operator", now)
	return c, eris.Wrap(err, "accepting a change")
}

// VMs returns the VMs that run.
func (f *Fleet) VMs() []*VM {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*VM(nil), f.vms...)
}

// VM returns a running VM by name, or nil.
func (f *Fleet) VM(id string) *VM {
	for _, vm := range f.VMs() {
		if vm.ID == id {
			return vm
		}
	}
	return nil
}

// number returns the number in a VM's name.
func number(id string) byte {
	var n byte
	_, _ = fmt.Sscanf(id, "vm-%d", &n)
	return n
}

// StartVM starts a VM, or one that replaces an earlier VM of the same name.
func (f *Fleet) StartVM(id string) (*VM, error) {
	n := number(id)
	zone := int(n-1) % len(f.Deployment.AvailabilityZones)
	addr := netip.AddrFrom4([4]byte{127, 1, 0, n})
	f.mu.Lock()
	f.zones[id] = zone
	f.incarnation++
	incarnation := f.incarnation
	f.mu.Unlock()
	vm := &VM{ID: id, AvailabilityZone: f.Deployment.AvailabilityZones[zone], Callers: netip.AddrPortFrom(addr, callerPort), done: make(chan struct{})}
	p, err := runner.New(f.settings(vm, addr), f.environment(vm, incarnation))
	if err != nil {
		return nil, err
	}
	vm.Process = p
	ctx, cancel := context.WithCancel(f.ctx)
	vm.cancel = cancel
	f.group.Go(func() error {
		defer close(vm.done)
		return p.Run(ctx)
	})
	f.mu.Lock()
	f.vms = append(f.vms, vm)
	f.mu.Unlock()
	f.publish()
	return vm, nil
}

// publish brings the platform's list of VMs up to date.
func (f *Fleet) publish() {
	var list []keeper.VM
	for _, vm := range f.VMs() {
		list = append(list, keeper.VM{ID: vm.ID, Address: vm.Process.Settings.Listen.Peers, AvailabilityZone: vm.AvailabilityZone})
	}
	f.Store.SetVMs(list)
}

// settings returns the settings of a VM.
func (f *Fleet) settings(vm *VM, addr netip.Addr) loader.Settings {
	s := loader.Settings{
		VM:       loader.VM{ID: vm.ID, AvailabilityZone: vm.AvailabilityZone},
		Listen:   loader.Listen{Callers: vm.Callers, Peers: netip.AddrPortFrom(addr, peerPort), Operators: netip.AddrPortFrom(addr, operatorPort)},
		Platform: loader.Platform{URL: "http://" + platformAddress.String()},
		Secrets: loader.Secrets{
			Sessions: []loader.Secret{{ID: "s1", Value: "staged-session-secret"}},
			Decoy:    "staged-decoy-secret-value",
		},
	}
	for _, other := range f.VMs() {
		s.Seeds = append(s.Seeds, loader.Seed{ID: other.ID, Address: other.Process.Settings.Listen.Peers})
	}
	for _, g := range f.Groups {
		group := loader.Group{Name: f.nameOf(g), Slots: f.Deployment.Slots, Connections: f.Deployment.Connections}
		for n, i := range g.Instances() {
			group.Instances = append(group.Instances, loader.Instance{ID: i.ID(), Address: f.address(g, n)})
		}
		s.Groups = append(s.Groups, group)
	}
	s.Default()
	if f.options.Settings != nil {
		f.options.Settings(&s)
	}
	return s
}

// nameOf returns the name of a group.
func (f *Fleet) nameOf(g *endpointfaker.Group) string {
	for i := range f.Groups {
		if f.Groups[i] == g {
			return f.Deployment.Groups[i]
		}
	}
	return ""
}

// Group returns a database group by name, or nil.
func (f *Fleet) Group(name string) *endpointfaker.Group {
	for i := range f.Groups {
		if f.Deployment.Groups[i] == name {
			return f.Groups[i]
		}
	}
	return nil
}

// environment returns what a VM finds around it.
func (f *Fleet) environment(vm *VM, incarnation uint64) runner.Environment {
	return runner.Environment{
		Listen: func(addr netip.AddrPort) (net.Listener, error) {
			l, err := f.Network.Listen(vm.ID, addr)
			if err != nil || addr != vm.Callers || f.options.ListenCallers == nil {
				return l, err
			}
			outside, err := f.options.ListenCallers(vm.ID)
			if err != nil {
				return nil, err
			}
			return wirefaker.Merge(l, outside), nil
		},
		Dial:        f.dialer(vm.ID),
		Store:       f.transport(vm.ID),
		Clock:       f.options.Clock,
		Log:         f.options.Log,
		Incarnation: incarnation,
	}
}

// dialer returns the dial function of a VM; real endpoints are dialled for real.
func (f *Fleet) dialer(vm string) func(ctx context.Context, network, addr string) (net.Conn, error) {
	staged := f.Network.Dialer(vm)
	if f.options.RealEndpoints == nil {
		return staged
	}
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		to, err := netip.ParseAddrPort(addr)
		if err == nil && to.Addr() == netip.AddrFrom4([4]byte{127, 0, 0, 1}) {
			return (&net.Dialer{}).DialContext(ctx, network, addr)
		}
		return staged(ctx, network, addr)
	}
}

// Kill ends a VM as a failure does: nothing is finished.
func (f *Fleet) Kill(id string) {
	vm := f.remove(id)
	if vm == nil {
		return
	}
	f.Network.Reset(id)
	vm.cancel()
	<-vm.done
}

// Drain ends a VM as a planned stop does.
func (f *Fleet) Drain(id string) {
	vm := f.VM(id)
	if vm == nil {
		return
	}
	vm.Process.Drain(f.ctx)
	f.remove(id)
	vm.cancel()
	<-vm.done
	f.publish()
}

// remove takes a VM out of the fleet.
func (f *Fleet) remove(id string) *VM {
	f.mu.Lock()
	defer f.mu.Unlock()
	for n, vm := range f.vms {
		if vm.ID == id {
			f.vms = append(f.vms[:n:n], f.vms[n+1:]...)
			return vm
		}
	}
	return nil
}

// Owner returns the VM that owns the pool of a group, or "".
func (f *Fleet) Owner(group string) string {
	for _, vm := range f.VMs() {
		if vm.Process.Manager.Pool(group).State().String() == "owning" {
			return vm.ID
		}
	}
	return ""
}

// Ready waits until the configuration is in force everywhere and every pool has an owner.
func (f *Fleet) Ready(ctx context.Context, generation uint64) error {
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for !f.ready(generation) {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return eris.New("the fleet did not get ready in time")
		}
	}
	return nil
}

// ready reports whether the fleet serves under a generation.
func (f *Fleet) ready(generation uint64) bool {
	for _, vm := range f.VMs() {
		if vm.Process.Log.Index().Generation() < generation {
			return false
		}
	}
	for _, g := range f.Deployment.Groups {
		if f.Owner(g) == "" {
			return false
		}
	}
	return true
}
