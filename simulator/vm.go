package simulator

import (
	"context"
	"fmt"
	"net"
	"net/netip"

	"github.com/marigoldgauge/marigoldgauge/keeper"
	"github.com/marigoldgauge/marigoldgauge/loader"
	"github.com/marigoldgauge/marigoldgauge/networkfaker"
	"github.com/marigoldgauge/marigoldgauge/runner"
)

// VM is a VM of a simulated fleet.
type VM struct {
	// ID identifies the VM, and is its host name in the network.
	ID string
	// AvailabilityZone is the availability zone that the VM runs in.
	AvailabilityZone string
	// Process is the proxy process on the VM.
	Process *runner.Process
	// ClientAddress is the address on which the VM accepts clients.
	ClientAddress netip.AddrPort

	cancel context.CancelFunc
	done   chan struct{}
}

// VMs returns the running VMs.
func (f *Fleet) VMs() []*VM {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*VM(nil), f.vms...)
}

// VM returns the running VM of an identifier, or nil.
func (f *Fleet) VM(id string) *VM {
	for _, vm := range f.VMs() {
		if vm.ID == id {
			return vm
		}
	}
	return nil
}

// vmNumber returns the number in the identifier of a VM.
func vmNumber(id string) byte {
	var n byte
	_, _ = fmt.Sscanf(id, "vm-%d", &n)
	return n
}

// StartVM starts a VM, which may replace an earlier VM of the same identifier.
func (f *Fleet) StartVM(id string) (*VM, error) {
	n := vmNumber(id)
	zone := int(n-1) % len(f.Deployment.AvailabilityZones)
	addr := netip.AddrFrom4([4]byte{127, 1, 0, n})
	f.mu.Lock()
	f.zones[id] = zone
	f.incarnation++
	incarnation := f.incarnation
	f.mu.Unlock()
	vm := &VM{ID: id, AvailabilityZone: f.Deployment.AvailabilityZones[zone], ClientAddress: netip.AddrPortFrom(addr, clientPort), done: make(chan struct{})}
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
	f.publishVMs()
	return vm, nil
}

// publishVMs updates the platform's list of VMs.
func (f *Fleet) publishVMs() {
	var list []keeper.VM
	for _, vm := range f.VMs() {
		list = append(list, keeper.VM{ID: vm.ID, Address: vm.Process.Settings.Listen.Peers, AvailabilityZone: vm.AvailabilityZone})
	}
	f.Store.SetVMs(list)
}

// settings returns the settings of a VM, with the running VMs as seeds.
func (f *Fleet) settings(vm *VM, addr netip.Addr) loader.Settings {
	s := loader.Settings{
		VM:       loader.VM{ID: vm.ID, AvailabilityZone: vm.AvailabilityZone},
		Listen:   loader.Listen{Callers: vm.ClientAddress, Peers: netip.AddrPortFrom(addr, peerPort), Operators: netip.AddrPortFrom(addr, operatorPort)},
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
		group := loader.Group{Name: f.groupName(g), Slots: f.Deployment.Slots, Connections: f.Deployment.Connections}
		for n, i := range g.Instances() {
			group.Instances = append(group.Instances, loader.Instance{ID: i.ID(), Address: f.instanceAddress(g, n)})
		}
		s.Groups = append(s.Groups, group)
	}
	s.SetDefaults()
	if f.options.ModifySettings != nil {
		f.options.ModifySettings(&s)
	}
	return s
}

// environment returns the network, store, clock and logger of a VM.
func (f *Fleet) environment(vm *VM, incarnation uint64) runner.Environment {
	return runner.Environment{
		Listen: func(addr netip.AddrPort) (net.Listener, error) {
			l, err := f.Network.Listen(vm.ID, addr)
			listenExtra := f.extraListener(vm, addr)
			if err != nil || listenExtra == nil {
				return l, err
			}
			extra, err := listenExtra(vm.ID)
			if err != nil {
				return nil, err
			}
			return networkfaker.MergeListeners(l, extra), nil
		},
		Dial:           f.dialer(vm.ID),
		StoreTransport: f.transport(vm.ID),
		Clock:          f.options.Clock,
		Log:            f.options.Log,
		Incarnation:    incarnation,
	}
}

// extraListener returns the function that opens an additional listener next to that
// of a VM at addr, or nil.
func (f *Fleet) extraListener(vm *VM, addr netip.AddrPort) func(vm string) (net.Listener, error) {
	switch addr.Port() {
	case vm.ClientAddress.Port():
		return f.options.ListenClients
	case operatorPort:
		return f.options.ListenOperators
	default:
		return nil
	}
}

// dialer returns the dial function of a VM. With EndpointListener set, connections to
// 127.0.0.1 go through the real network.
func (f *Fleet) dialer(vm string) func(ctx context.Context, network, addr string) (net.Conn, error) {
	simulated := f.Network.Dialer(vm)
	if f.options.EndpointListener == nil {
		return simulated
	}
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		to, err := netip.ParseAddrPort(addr)
		if err == nil && to.Addr() == netip.AddrFrom4([4]byte{127, 0, 0, 1}) {
			return (&net.Dialer{}).DialContext(ctx, network, addr)
		}
		return simulated(ctx, network, addr)
	}
}

// Kill stops a VM abruptly, as a crash does: nothing in progress completes.
func (f *Fleet) Kill(id string) {
	vm := f.removeVM(id)
	if vm == nil {
		return
	}
	f.Network.ResetConnections(id)
	vm.cancel()
	<-vm.done
}

// Drain stops a VM gracefully, as a planned shutdown does.
func (f *Fleet) Drain(id string) {
	vm := f.VM(id)
	if vm == nil {
		return
	}
	vm.Process.Drain(f.ctx)
	f.removeVM(id)
	vm.cancel()
	<-vm.done
	f.publishVMs()
}

// removeVM removes a VM from the fleet and returns it, or nil.
func (f *Fleet) removeVM(id string) *VM {
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
