// Package stager puts a small fleet on stand-ins: a platform, database groups
// and VMs in one process, for the demonstration and for tests.
package stager

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/marigoldgauge/marigoldgauge/endpointfaker"
	"github.com/marigoldgauge/marigoldgauge/storefaker"
	"github.com/marigoldgauge/marigoldgauge/timekeeper"
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

// New returns a fleet that has not started.
func New(d Deployment, o Options) *Fleet {
	f := &Fleet{Deployment: d, Store: storefaker.New(), Keys: map[string]string{}, options: o, zones: map[string]int{}}
	if f.options.Clock == nil {
		f.options.Clock = timekeeper.ClockFunc(time.Now)
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
