package main

import (
	"math/rand/v2"
	"sync"
	"time"
)

// probeInterval is the time between two readiness checks of a machine.
const probeInterval = time.Second

// balancer stands in for the platform's ingress in one zone.
type balancer struct {
	vms  []*vm
	mu   sync.Mutex
	miss map[*vm]int
}

// newBalancer returns a balancer with all machines in rotation.
func newBalancer(vms []*vm) *balancer { return &balancer{vms: vms, miss: map[*vm]int{}} }

// run checks the machines until done is closed.
func (b *balancer) run(done <-chan struct{}) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
		}
		for _, v := range b.vms {
			v.platform.group.Go(func() error {
				ready := v.ready()
				b.mu.Lock()
				defer b.mu.Unlock()
				before := b.miss[v] < 2
				if b.miss[v]++; ready {
					b.miss[v] = 0
				}
				if after := b.miss[v] < 2; after != before {
					v.platform.record.add("balancer: %s in rotation: %t", v.name, after)
				}
				return nil
			})
		}
	}
}

// choose returns the machine that gets a new connection: one in rotation, or any one if fewer
// than half of the zone's machines are in rotation.
func (b *balancer) choose() *vm {
	b.mu.Lock()
	defer b.mu.Unlock()
	var in []*vm
	for _, v := range b.vms {
		if b.miss[v] < 2 {
			in = append(in, v)
		}
	}
	if 2*len(in) < len(b.vms) {
		in = b.vms
	}
	return in[rand.IntN(len(in))]
}
