package delegator

import (
	"net/netip"
	"sync"
	"time"

	"github.com/marigoldgauge/marigoldgauge/gossiper"
	"github.com/marigoldgauge/marigoldgauge/placer"
)

// Fleet is the view of the other VMs.
type Fleet interface {
	// Near returns the live VMs of this availability zone, except this one.
	Near(now time.Time) []gossiper.Peer
	// Generation changes with the set of VMs that are alive and not leaving.
	Generation(now time.Time) uint64
	// Size returns the number of live VMs, including this one, and the number of
	// their availability zones.
	Size(now time.Time) (vms, zones int)
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
	holders     map[string][]string
	addresses   map[string]netip.AddrPort
	vms, zones  int
}

// NewHolderSelector returns the Ranking of a VM.
func NewHolderSelector(name string) *HolderSelector {
	return &HolderSelector{name: name, holders: map[string][]string{}}
}

// SetFleet sets the view of the fleet. It must be called before any other method.
func (r *HolderSelector) SetFleet(f Fleet) {
	r.fleet = f
}

// SetConnections sets, for each group, the number of connections to each of its
// instances that all VMs together may hold.
func (r *HolderSelector) SetConnections(c map[string]float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.connections, r.holders = c, map[string][]string{}
}

// Holders returns the holders of a group in this availability zone; all is true
// when every VM is one.
func (r *HolderSelector) Holders(now time.Time, group string) (names []string, all bool) {
	generation := r.fleet.Generation(now)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.addresses == nil || generation != r.generation {
		r.refresh(now, generation)
	}
	holders, all := HolderCount(r.connections[group], r.vms, r.zones)
	if all || r.connections[group] <= 0 {
		return nil, true
	}
	names, ok := r.holders[group]
	if !ok {
		candidates := make([]string, 0, len(r.addresses)+1)
		for name := range r.addresses {
			candidates = append(candidates, name)
		}
		names = placer.Rank("hold/"+group, append(candidates, r.name))
		names = names[:min(len(names), holders)]
		r.holders[group] = names
	}
	return names, false
}

// refresh reloads the live VMs from the fleet. The caller holds the lock.
func (r *HolderSelector) refresh(now time.Time, generation uint64) {
	r.generation, r.holders, r.addresses = generation, map[string][]string{}, map[string]netip.AddrPort{}
	r.vms, r.zones = r.fleet.Size(now)
	for _, p := range r.fleet.Near(now) {
		if !p.Leaving {
			r.addresses[p.Name] = UnitsAddress(p.Address)
		}
	}
}

// Share returns the number of connections to an instance of a group that are
// reserved for this VM.
func (r *HolderSelector) Share(now time.Time, group string) float64 {
	names, all := r.Holders(now, group)
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case all:
		return r.connections[group] / float64(max(r.vms, 1))
	case len(names) == 0:
		return 0
	}
	for _, name := range names {
		if name == r.name {
			return max(1, r.connections[group]/float64(max(r.zones, 1)*len(names)))
		}
	}
	return 0
}

// address returns the address for units of work of a VM.
func (r *HolderSelector) address(name string) (netip.AddrPort, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a, ok := r.addresses[name]
	return a, ok
}
