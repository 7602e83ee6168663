// Package simulator runs a simulated fleet in one process, for the demonstration and
// for tests: VMs that run the real proxy, with fakes of the platform, the database
// groups and the network.
package simulator

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/marigoldgauge/marigoldgauge/endpointfaker"
	"github.com/marigoldgauge/marigoldgauge/networkfaker"
	"github.com/marigoldgauge/marigoldgauge/storefaker"
	"github.com/marigoldgauge/marigoldgauge/timekeeper"
)

const (
	// platformHost is the host name of the platform in the network.
	platformHost = "platform"
	// ClientHost is the host name of the clients in the network.
	ClientHost = "callers"
	// peerPort is the port on which a VM accepts other VMs.
	peerPort = 7400
	// operatorPort is the port on which a VM accepts operators.
	operatorPort = 7500
	// clientPort is the port on which a VM accepts clients.
	clientPort = 5432
	// endpointPort is the port of the endpoints.
	endpointPort = 5432
)

// Fleet is a simulated fleet.
type Fleet struct {
	// Deployment is the deployment that the fleet simulates.
	Deployment Deployment
	// Network is the simulated network between all hosts.
	Network *networkfaker.Network
	// Store is the fake of the platform, which includes its store.
	Store *storefaker.Server
	// Groups are the database groups.
	Groups []*endpointfaker.Group
	// Keys maps each organisation to the secret of its first key, whose
	// identifier is the name of the organisation followed by "-key".
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

// New returns a fleet that has not been started.
func New(d Deployment, o Options) *Fleet {
	f := &Fleet{Deployment: d, Store: storefaker.New(), Keys: map[string]string{}, options: o, zones: map[string]int{}}
	if f.options.Clock == nil {
		f.options.Clock = timekeeper.ClockFunc(time.Now)
	}
	f.Network = networkfaker.New(f.latency)
	for n, name := range d.Groups {
		f.Groups = append(f.Groups, f.newGroup(n, name))
	}
	return f
}

// latency returns the one-way latency between two hosts.
func (f *Fleet) latency(from, to string) time.Duration {
	if from == ClientHost || to == ClientHost {
		return f.Deployment.ClientLatency
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
		return f.Deployment.ZoneLatency
	default:
		return f.Deployment.RegionLatency
	}
}

// Start starts the platform, the endpoints and all VMs, and applies the
// configuration of the deployment.
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

// Stop stops the fleet and waits until all of it has stopped.
func (f *Fleet) Stop() {
	f.cancel()
	_ = f.group.Wait()
}

// PoolOwner returns the identifier of the VM that owns the pool of a group, or ""
// if there is none.
func (f *Fleet) PoolOwner(group string) string {
	for _, vm := range f.VMs() {
		if vm.Process.Manager.Pool(group).State().String() == "owning" {
			return vm.ID
		}
	}
	return ""
}

// WaitReady waits until all VMs have a configuration of at least the given
// generation and every pool has an owner.
func (f *Fleet) WaitReady(ctx context.Context, generation uint64) error {
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for !f.ready(generation) {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return eris.New("fleet did not become ready before the context ended")
		}
	}
	return nil
}

// ready reports whether all VMs have a configuration of at least the given
// generation and every pool has an owner.
func (f *Fleet) ready(generation uint64) bool {
	for _, vm := range f.VMs() {
		if vm.Process.Log.Index().Generation() < generation {
			return false
		}
	}
	for _, g := range f.Deployment.Groups {
		if f.PoolOwner(g) == "" {
			return false
		}
	}
	return true
}

// InZone returns the VMs and the instances of an availability zone.
func (f *Fleet) InZone(zone int) (vms []string, instances []*endpointfaker.Instance) {
	for _, vm := range f.VMs() {
		if vm.AvailabilityZone == f.Deployment.AvailabilityZones[zone] {
			vms = append(vms, vm.ID)
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, g := range f.Groups {
		for _, i := range g.Instances() {
			if f.zones[i.ID()] == zone {
				instances = append(instances, i)
			}
		}
	}
	return vms, instances
}
