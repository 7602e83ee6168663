// Package registrar keeps the register of the VMs that take part in the fleet,
// and spreads the configuration among them.
//
// One VM of a cell coordinates it, chosen by rendezvous hashing among those
// that answer. The others send it a heartbeat, and the answer brings what they
// missed: the roster and the accepted changes. The coordinator and its deputy
// watch the platform's store on behalf of the whole cell. Nothing is lost with
// a coordinator: the next one rebuilds its view from the heartbeats.
package registrar

import "net/netip"

// Member is one VM of the roster.
type Member struct {
	// ID names the VM.
	ID string
	// Address is where the other VMs reach it.
	Address netip.AddrPort
	// AvailabilityZone is where it runs.
	AvailabilityZone string
	// Leaving reports that it finishes its work and takes no more.
	Leaving bool
	// Generation is the generation of the configuration in force there.
	Generation uint64
	// Incarnation tells the processes of one VM apart; a later one is greater.
	Incarnation uint64
	// UnfitGroups are the groups whose primary the VM cannot reach while others can.
	UnfitGroups []string
}
