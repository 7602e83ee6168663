package gossiper

import (
	"net/netip"
	"time"
)

// Seed is a registered VM, whether a message of it was received or not.
type Seed struct {
	// Address is the address at which the VM receives messages.
	Address netip.AddrPort `cbor:"1,keyasint"`
	// AvailabilityZone is the availability zone the VM runs in.
	AvailabilityZone string `cbor:"2,keyasint,omitempty"`
	// Capacity is the capacity class of the VM.
	Capacity uint8 `cbor:"3,keyasint,omitempty"`
}

// seed is a Seed and the time of its registration.
type seed struct {
	Seed
	// addedAt is the time at which the VM was added.
	addedAt time.Time
}

// SetSeeds sets the registered VMs of the fleet.
func (g *Gossiper) SetSeeds(now time.Time, vms map[string]Seed) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for name, s := range vms {
		g.addSeed(now, name, s)
	}
	for name := range g.seeds {
		if _, ok := vms[name]; !ok {
			delete(g.seeds, name)
			g.seedChanges++
		}
	}
	if !g.seeded {
		defer g.sendGreetings(vms)
	}
	g.seeded, g.seededAt = true, now
	g.roster.stale = true
}

// addSeed adds a registered VM. The caller must hold g.mu.
func (g *Gossiper) addSeed(now time.Time, name string, s Seed) {
	if have := g.seeds[name]; have == nil || have.Seed != s {
		g.seeds[name] = &seed{Seed: s, addedAt: now}
		g.seedChanges++
		g.roster.stale = true
	}
}

// seedZones returns the availability zones of the registered VMs. The result is shared and
// must not be modified. The caller must hold g.mu.
func (g *Gossiper) seedZones() map[string]bool {
	if g.zonesAsOf != g.seedChanges {
		g.zonesAsOf, g.zonesOfSeeds = g.seedChanges, map[string]bool{}
		for _, s := range g.seeds {
			g.zonesOfSeeds[s.AvailabilityZone] = true
		}
	}
	return g.zonesOfSeeds
}

// sendGreetings announces this VM to the VMs of its availability zone, which may have read
// the register before this VM was added.
func (g *Gossiper) sendGreetings(vms map[string]Seed) {
	for _, s := range vms {
		if s.AvailabilityZone == g.zone {
			g.send(s.Address, frameGreeting, greeting{Name: g.name, Seed: Seed{Address: g.self.Address, AvailabilityZone: g.zone, Capacity: g.self.Capacity}})
		}
	}
	g.SendNow()
}

// greeting announces a VM that has just started, or requests the full state of a relay.
type greeting struct {
	Name string `cbor:"1,keyasint"`
	Seed Seed   `cbor:"2,keyasint"`
	// KnowsGroups reports, in a request for the full state, that the VM does not need the
	// states of the groups.
	KnowsGroups bool `cbor:"3,keyasint,omitempty"`
}

// SeededWithin reports whether the registered VMs were set within the given time before now.
func (g *Gossiper) SeededWithin(now time.Time, within time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.seeded && now.Sub(g.seededAt) < within
}

// ExpectedVMs returns the number of registered VMs that have sent no message yet but may exist, for as
// long as one that was heard once. ok is false while the register is not known.
func (g *Gossiper) ExpectedVMs(now time.Time) (n int, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.currentRoster(now)
	for name, s := range g.seeds {
		if _, ok := r.known[name]; !ok && now.Sub(s.addedAt) < forgetTimeout {
			n++
		}
	}
	return n, g.seeded
}
