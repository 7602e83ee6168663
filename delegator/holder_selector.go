package delegator

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/marigoldgauge/marigoldgauge/gossiper"
	"github.com/marigoldgauge/marigoldgauge/ranker"
)

// Fleet is the view of the other VMs.
type Fleet interface {
	// AliveInZone returns the live VMs of this availability zone, except this one.
	AliveInZone(now time.Time) []gossiper.Peer
	// Generation changes with the set of VMs that are alive and not leaving.
	Generation(now time.Time) uint64
	// FleetSize returns the number of live VMs, including this one, and the number of
	// their availability zones.
	FleetSize(now time.Time) (vms, zones int)
}

// unitsPortOffset is the offset of the port for units of work from the datagram port.
const unitsPortOffset = 2

// UnitsAddress returns the address for units of work of the VM that receives
// datagrams at an address.
func UnitsAddress(peers netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(peers.Addr(), peers.Port()+unitsPortOffset)
}

// HolderSelector selects the VMs of this availability zone that hold connections to the
// instances of a group. It is safe for concurrent use.
type HolderSelector struct {
	name  string
	fleet Fleet

	mu          sync.Mutex
	connections map[string]float64
	generation  uint64
	// holders holds the first of the ranked VMs of each group that was asked for.
	holders    map[string][]string
	addresses  map[string]netip.AddrPort
	vms, zones int
}

// NewHolderSelector returns the HolderSelector of a VM.
func NewHolderSelector(name string) *HolderSelector {
	return &HolderSelector{name: name, connections: map[string]float64{}, holders: map[string][]string{}}
}

// SetFleet sets the view of the fleet. It must be called before any other method.
func (s *HolderSelector) SetFleet(f Fleet) {
	s.fleet = f
}

// SetConnections sets, for each group whose number changed, the number of connections to each
// of its instances that all VMs together may hold, and forgets the groups that are gone.
func (s *HolderSelector) SetConnections(changed map[string]float64, gone ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for group, n := range changed {
		s.connections[group] = n
		delete(s.holders, group)
	}
	for _, group := range gone {
		delete(s.connections, group)
		delete(s.holders, group)
	}
}

// Holders returns the holders of a group in this availability zone; all is true
// when every VM is one.
func (s *HolderSelector) Holders(now time.Time, group string) (names []string, all bool) {
	generation := s.fleet.Generation(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.addresses == nil || generation != s.generation {
		s.refresh(now, generation)
	}
	holders, all := HolderCount(s.connections[group], s.vms, s.zones)
	if all || s.connections[group] <= 0 {
		return nil, true
	}
	holders = min(holders, len(s.addresses)+1)
	names = s.holders[group]
	if len(names) < holders {
		candidates := make([]string, 0, len(s.addresses)+1)
		for name := range s.addresses {
			candidates = append(candidates, name)
		}
		names = rankHolders(group, append(candidates, s.name))[:holders]
		s.holders[group] = names
	}
	return names[:holders:holders], false
}

// IsShared reports whether several VMs of this availability zone hold connections to the
// instances of a group.
func (s *HolderSelector) IsShared(now time.Time, group string) bool {
	names, all := s.Holders(now, group)
	return all || len(names) > 1
}

// rankHolders returns the candidates for holding connections of a group, the first one first.
func rankHolders(group string, candidates []string) []string {
	return ranker.Rank("hold/"+group, candidates)
}

// refresh reloads the live VMs from the fleet. The caller holds the lock.
func (s *HolderSelector) refresh(now time.Time, generation uint64) {
	before := s.addresses
	s.generation, s.addresses = generation, map[string]netip.AddrPort{}
	s.vms, s.zones = s.fleet.FleetSize(now)
	var joined []string
	for _, p := range s.fleet.AliveInZone(now) {
		if p.Leaving {
			continue
		}
		s.addresses[p.Name] = UnitsAddress(p.Address)
		if _, ok := before[p.Name]; !ok {
			joined = append(joined, p.Name)
		}
	}
	gone := map[string]bool{}
	for name := range before {
		if _, ok := s.addresses[name]; !ok {
			gone[name] = true
		}
	}
	s.updateHolders(joined, gone)
}

// updateHolders updates the holders after VMs of this availability zone have joined and
// gone. A VM that joins moves only the groups that it gains, and one that is gone those
// that it held; VMs of other availability zones move none. The caller holds the lock.
func (s *HolderSelector) updateHolders(joined []string, gone map[string]bool) {
	if len(joined)+len(gone) == 0 {
		return
	}
	for group, names := range s.holders {
		switch {
		case slices.ContainsFunc(names, func(name string) bool { return gone[name] }):
			delete(s.holders, group)
		case len(joined) > 0:
			s.holders[group] = rankHolders(group, slices.Concat(names, joined))[:len(names)]
		}
	}
}

// Share returns the number of connections to an instance of a group that are
// reserved for this VM.
func (s *HolderSelector) Share(now time.Time, group string) float64 {
	names, all := s.Holders(now, group)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case all:
		return s.connections[group] / float64(max(s.vms, 1))
	case len(names) == 0:
		return 0
	}
	for _, name := range names {
		if name == s.name {
			return max(1, s.connections[group]/float64(max(s.zones, 1)*len(names)))
		}
	}
	return 0
}

// address returns the address for units of work of a VM.
func (s *HolderSelector) address(name string) (netip.AddrPort, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a, ok := s.addresses[name]
	return a, ok
}
