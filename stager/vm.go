package stager

import (
	"context"
	"fmt"
	"net"
	"net/netip"

	"github.com/marigoldgauge/marigoldgauge/keeper"
	"github.com/marigoldgauge/marigoldgauge/loader"
	"github.com/marigoldgauge/marigoldgauge/runner"
	"github.com/marigoldgauge/marigoldgauge/wirefaker"
)

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

// environment returns what a VM finds around it.
func (f *Fleet) environment(vm *VM, incarnation uint64) runner.Environment {
	return runner.Environment{
		Listen: func(addr netip.AddrPort) (net.Listener, error) {
			l, err := f.Network.Listen(vm.ID, addr)
			second := f.second(vm, addr)
			if err != nil || second == nil {
				return l, err
			}
			outside, err := second(vm.ID)
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

// second returns what opens a second listener beside one of a VM, or nil.
func (f *Fleet) second(vm *VM, addr netip.AddrPort) func(vm string) (net.Listener, error) {
	switch addr.Port() {
	case vm.Callers.Port():
		return f.options.ListenCallers
	case operatorPort:
		return f.options.ListenOperators
	default:
		return nil
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
