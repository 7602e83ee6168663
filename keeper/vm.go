package keeper

import "net/netip"

// VM is one entry of the platform's list of running and leaving VMs, which may
// lag behind the actual state.
type VM struct {
	// ID names the VM.
	ID string `json:"id"`
	// Address is the address at which the other VMs reach it.
	Address netip.AddrPort `json:"address"`
	// AvailabilityZone is the availability zone the VM runs in.
	AvailabilityZone string `json:"availability-zone"`
	// Leaving reports that the VM is about to be stopped.
	Leaving bool `json:"leaving,omitempty"`
}
