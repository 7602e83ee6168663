package delegator

import (
	"net/netip"
	"sync"
	"time"

	"github.com/marigoldgauge/marigoldgauge/gossiper"
	"github.com/marigoldgauge/marigoldgauge/placer"
)

// Fleet knows the other VMs.
type Fleet interface {
	// Near returns the other VMs of this availability zone that were heard a moment ago.
	Near(now time.Time) []gossiper.Peer
	// Generation changes whenever another set of VMs is alive and stays.
	Generation(now time.Time) uint64
	// Size returns the number of VMs that are alive, this one included, and of
	// their availability zones.
	Size(now time.Time) (vms, zones int)
}

// unitsPort is how far the port for units of work lies above the one for datagrams.
const unitsPort = 2

// UnitsAddress returns where the VM that takes datagrams at an address takes units of work.
func UnitsAddress(peers netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(peers.Addr(), peers.Port()+unitsPort)
}

// Ranking knows which VMs of the availability zone hold connections to the
// instances of a group. It is safe for concurrent use.
type Ranking struct {
	name  string
	fleet Fleet

	mu          sync.Mutex
	connections map[string]float64
	generation  uint64
	holders     map[string][]string
	addresses   map[string]netip.AddrPort
	vms, zones  int
}

// NewRanking returns the Ranking of a VM.
func NewRanking(name string) *Ranking {
	return &Ranking{name: name, holders: map[string][]string{}}
}

// Join gives the Ranking its fleet. It is called before any other method.
func (r *Ranking) Join(f Fleet) {
	r.fleet = f
}

// SetConnections takes the number of connections to each instance of the groups
// that all VMs together may hold.
func (r *Ranking) SetConnections(c map[string]float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.connections, r.holders = c, map[string][]string{}
}

// Holders returns the holders of a group in this availability zone; all reports
// that every VM is one.
func (r *Ranking) Holders(now time.Time, group string) (names []string, all bool) {
	generation := r.fleet.Generation(now)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.addresses == nil || generation != r.generation {
		r.refresh(now, generation)
	}
	holders, all := Plan(r.connections[group], r.vms, r.zones)
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

// refresh takes the VMs that are alive. The lock is held.
func (r *Ranking) refresh(now time.Time, generation uint64) {
	r.generation, r.holders, r.addresses = generation, map[string][]string{}, map[string]netip.AddrPort{}
	r.vms, r.zones = r.fleet.Size(now)
	for _, p := range r.fleet.Near(now) {
		if !p.Leaving {
			r.addresses[p.Name] = UnitsAddress(p.Address)
		}
	}
}

// Share returns the number of connections to an instance of a group that this VM
// may always hold.
func (r *Ranking) Share(now time.Time, group string) float64 {
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

// address returns where a VM takes units of work.
func (r *Ranking) address(name string) (netip.AddrPort, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a, ok := r.addresses[name]
	return a, ok
}
