package gossiper

import (
	"net/netip"
	"time"
)

// Seed is a VM that is registered, whether it was heard or not.
type Seed struct {
	// Address is where the VM takes messages.
	Address netip.AddrPort `cbor:"1,keyasint"`
	// AvailabilityZone is where the VM runs.
	AvailabilityZone string `cbor:"2,keyasint,omitempty"`
}

// seed is a Seed with what became of it.
type seed struct {
	Seed
	// since is when the VM was named.
	since time.Time
}

// Seed names the VMs of the fleet.
func (g *Gossiper) Seed(now time.Time, vms map[string]Seed) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for name, s := range vms {
		g.plant(now, name, s)
	}
	for name := range g.seeds {
		if _, ok := vms[name]; !ok {
			delete(g.seeds, name)
		}
	}
	if !g.seeded {
		defer g.greet(vms)
	}
	g.seeded, g.seededAt = true, now
	g.roster.stale = true
}

// plant notes a registered VM. The lock is held.
func (g *Gossiper) plant(now time.Time, name string, s Seed) {
	if have := g.seeds[name]; have == nil || have.Seed != s {
		g.seeds[name] = &seed{Seed: s, since: now}
		g.roster.stale = true
	}
}

// greet lets those VMs of the availability zone know of this one that may have
// read the register before it was there.
func (g *Gossiper) greet(vms map[string]Seed) {
	for _, s := range vms {
		if s.AvailabilityZone == g.zone {
			g.send(s.Address, frameGreeting, greeting{Name: g.name, Seed: Seed{Address: g.self.Address, AvailabilityZone: g.zone}})
		}
	}
	g.Hurry()
}

// greeting tells of a VM that has just started.
type greeting struct {
	Name string `cbor:"1,keyasint"`
	Seed Seed   `cbor:"2,keyasint"`
}

// Seeded reports whether the VMs of the fleet were named within a time.
func (g *Gossiper) Seeded(now time.Time, within time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.seeded && now.Sub(g.seededAt) < within
}

// Expected returns the number of VMs that belong to the fleet and may yet be
// heard; ok is false while the fleet is not known at all.
func (g *Gossiper) Expected(now time.Time) (n int, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.current(now)
	for name, s := range g.seeds {
		if _, ok := r.known[name]; !ok && now.Sub(s.since) < expectFor {
			n++
		}
	}
	return n, g.seeded || len(r.known) > 0
}
