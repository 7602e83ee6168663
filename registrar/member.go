// Package registrar maintains the membership of the fleet and distributes the
// configuration among its VMs.
//
// One VM of a cell is its coordinator, chosen by rendezvous hashing among those
// that respond. The other VMs send it heartbeats, and its responses carry what they
// lack: the roster and accepted configuration changes. The coordinator and its
// deputy watch the platform's store on behalf of the whole cell. A failed
// coordinator loses no state, since the next one rebuilds its view from the
// heartbeats.
package registrar

import "net/netip"

// Member is one VM of the roster.
type Member struct {
	// ID names the VM.
	ID string
	// Address is the address at which the other VMs reach it.
	Address netip.AddrPort
	// AvailabilityZone is the availability zone it runs in.
	AvailabilityZone string
	// Leaving reports that it finishes its current work and accepts no more.
	Leaving bool
	// Generation is the configuration generation in force on the VM.
	Generation uint64
	// Incarnation distinguishes the processes of one VM; a later process has a greater
	// number.
	Incarnation uint64
	// UnfitGroups are the groups whose primary this VM cannot reach while other VMs can.
	UnfitGroups []string
}
