package demonstrator_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/marigoldgauge/marigoldgauge/demonstrator"
	"github.com/marigoldgauge/marigoldgauge/endpointfaker"
	"github.com/marigoldgauge/marigoldgauge/simulator"
	"github.com/marigoldgauge/marigoldgauge/storefaker"
)

// wait waits for d or until ctx ends.
func wait(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// storeOutage makes the store unavailable for d. During the outage, a pool owner
// is killed and a VM of the same name replaces it.
func storeOutage(d time.Duration) func(ctx context.Context, f *simulator.Fleet) error {
	return func(ctx context.Context, f *simulator.Fleet) error {
		wait(ctx, 5*time.Second)
		f.Store.SetFaults(storefaker.Faults{Down: true})
		wait(ctx, d/10)
		victim := f.PoolOwner(f.Deployment.Groups[1])
		f.Kill(victim)
		wait(ctx, d/10)
		if _, err := f.StartVM(victim); err != nil {
			return err
		}
		wait(ctx, d*8/10)
		f.Store.SetFaults(storefaker.Faults{})
		wait(ctx, 5*time.Second)
		return nil
	}
}

// longOutage returns the duration of the store outage, shortened under the race
// detector.
func longOutage() time.Duration {
	if underRace {
		return 40 * time.Second
	}
	return 10 * time.Minute
}

// rollingReplacement drains and replaces all VMs, one at a time.
func rollingReplacement(ctx context.Context, f *simulator.Fleet) error {
	wait(ctx, 2*time.Second)
	for n := range f.Deployment.VMs {
		id := fmt.Sprintf("vm-%d", n+1)
		f.Drain(id)
		if _, err := f.StartVM(id); err != nil {
			return err
		}
		wait(ctx, 2*time.Second)
	}
	return nil
}

// killOwners kills and replaces the owner of each pool, one at a time.
func killOwners(ctx context.Context, f *simulator.Fleet) error {
	for _, g := range f.Deployment.Groups {
		wait(ctx, 4*time.Second)
		victim := f.PoolOwner(g)
		f.Kill(victim)
		wait(ctx, 3*time.Second)
		if _, err := f.StartVM(victim); err != nil {
			return err
		}
	}
	return nil
}

// loseResponses makes all primaries drop responses of statements that took
// effect, and delay others by 30 ms.
func loseResponses(ctx context.Context, f *simulator.Fleet) error {
	for range 5 {
		wait(ctx, time.Second)
		for _, g := range f.Groups {
			g.Primary().SetFaults(endpointfaker.Faults{DroppedResponses: 2, ResponseDelay: 30 * time.Millisecond})
		}
	}
	wait(ctx, time.Second)
	for _, g := range f.Groups {
		g.Primary().SetFaults(endpointfaker.Faults{})
	}
	return nil
}

// pausePrimaries pauses each primary for 3 s, one at a time.
func pausePrimaries(ctx context.Context, f *simulator.Fleet) error {
	for _, g := range f.Groups {
		wait(ctx, 2*time.Second)
		i := g.Primary()
		i.SetFaults(endpointfaker.Faults{Paused: true})
		wait(ctx, 3*time.Second)
		i.SetFaults(endpointfaker.Faults{})
	}
	return nil
}

// oneWayPartition drops the outgoing traffic of a primary for 5 s; traffic to it
// still arrives.
func oneWayPartition(ctx context.Context, f *simulator.Fleet) error {
	wait(ctx, 2*time.Second)
	i := f.Groups[0].Primary().ID()
	for _, vm := range f.VMs() {
		f.Network.Partition(i, vm.ID, true)
	}
	for _, other := range f.Groups[0].Instances() {
		f.Network.Partition(i, other.ID(), true)
	}
	wait(ctx, 5*time.Second)
	for _, vm := range f.VMs() {
		f.Network.Partition(i, vm.ID, false)
	}
	for _, other := range f.Groups[0].Instances() {
		f.Network.Partition(i, other.ID(), false)
	}
	return nil
}

// secondInstanceLoss pauses a primary, and a second instance of the group 780 ms
// later, during the promotion.
func secondInstanceLoss(ctx context.Context, f *simulator.Fleet) error {
	wait(ctx, 2*time.Second)
	g := f.Groups[0]
	primary := g.Primary()
	primary.SetFaults(endpointfaker.Faults{Paused: true})
	wait(ctx, 780*time.Millisecond)
	var second *endpointfaker.Instance
	for _, i := range g.Instances() {
		if i != primary {
			second = i
		}
	}
	second.SetFaults(endpointfaker.Faults{Paused: true})
	wait(ctx, 3*time.Second)
	second.SetFaults(endpointfaker.Faults{})
	wait(ctx, 3*time.Second)
	primary.SetFaults(endpointfaker.Faults{})
	return nil
}

// drainEndpoints makes a primary and a replica announce that they are leaving,
// so that they get no new work.
func drainEndpoints(ctx context.Context, f *simulator.Fleet) error {
	wait(ctx, 2*time.Second)
	f.Groups[0].Primary().SetFaults(endpointfaker.Faults{Leaving: true})
	for _, i := range f.Groups[1].Instances() {
		if i != f.Groups[1].Primary() {
			i.SetFaults(endpointfaker.Faults{Leaving: true})
			break
		}
	}
	wait(ctx, 3*time.Second)
	return nil
}

// zoneOutage kills all VMs of an availability zone and pauses its endpoints for
// 6 s.
func zoneOutage(ctx context.Context, f *simulator.Fleet) error {
	wait(ctx, 2*time.Second)
	vms, instances := f.InZone(0)
	for _, i := range instances {
		i.SetFaults(endpointfaker.Faults{Paused: true})
	}
	for _, vm := range vms {
		f.Kill(vm)
	}
	wait(ctx, 6*time.Second)
	for _, i := range instances {
		i.SetFaults(endpointfaker.Faults{})
	}
	for _, vm := range vms {
		if _, err := f.StartVM(vm); err != nil {
			return err
		}
	}
	wait(ctx, 4*time.Second)
	return nil
}

// regionPartition partitions one region from the others for 6 s; clients and the
// platform stay reachable.
func regionPartition(ctx context.Context, f *simulator.Fleet) error {
	wait(ctx, 2*time.Second)
	inside := map[string]bool{}
	vms, instances := f.InZone(0)
	for _, vm := range vms {
		inside[vm] = true
	}
	for _, i := range instances {
		inside[i.ID()] = true
	}
	var outside []string
	for zone := 1; zone < len(f.Deployment.AvailabilityZones); zone++ {
		vms, instances := f.InZone(zone)
		outside = append(outside, vms...)
		for _, i := range instances {
			outside = append(outside, i.ID())
		}
	}
	for _, cut := range []bool{true, false} {
		for in := range inside {
			for _, out := range outside {
				f.Network.PartitionBoth(in, out, cut)
			}
		}
		wait(ctx, 6*time.Second)
	}
	return nil
}

// Injected faults under load violate no invariant, and refusals, unknown
// outcomes and latency stay within their bounds.
func TestInvariantsUnderFaults(t *testing.T) {
	tests := []struct {
		name         string
		injectFaults func(ctx context.Context, f *simulator.Fleet) error
		duration     time.Duration
		// refused and unknown are the largest permitted shares of refused requests and
		// of unknown outcomes.
		refused, unknown float64
	}{
		{"store outage", storeOutage(longOutage()), longOutage() + 45*time.Second, 0.01, 0.01},
		{"rolling replacement", rollingReplacement, 30 * time.Second, 0, 0},
		{"deaths of pool owners", killOwners, 25 * time.Second, 0.01, 0.01},
		{"lost and late answers", loseResponses, 10 * time.Second, 0.01, 0.05},
		{"paused primaries", pausePrimaries, 18 * time.Second, 0.01, 0.01},
		{"one-way cut", oneWayPartition, 10 * time.Second, 0.01, 0.01},
		{"second instance lost during the promotion", secondInstanceLoss, 12 * time.Second, 0.10, 0.01},
		{"availability zone lost", zoneOutage, 14 * time.Second, 0.01, 0.02},
		{"region cut off", regionPartition, 16 * time.Second, 0.20, 0.02},
		{"leaving endpoints", drainEndpoints, 8 * time.Second, 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			o := demonstrator.Options{Deployment: "campusweg", For: tt.duration, InjectFaults: tt.injectFaults, Seed: 4}
			if tt.duration > time.Minute {
				o.LoadFraction = 0.05
			}
			f := run(t, o)
			g.Expect(f.InvariantViolated()).To(BeFalse())
			g.Expect(f.LongestResponse).To(BeNumerically("<=", responseTimeout))
			g.Expect(float64(f.Refused)).To(BeNumerically("<=", tt.refused*float64(f.Requests)), "refused: %v", f.Errors)
			g.Expect(float64(f.Unknown)).To(BeNumerically("<=", tt.unknown*float64(f.Requests)), "unknown: %v", f.Errors)
		})
	}
}
