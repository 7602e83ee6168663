package keeper

import "net/netip"

// VM is one entry of the platform's lagging list of live and leaving VMs.
type VM struct {
	// ID names the VM.
	ID string `json:"id"`
	// Address is the address at which the other VMs reach it.
	Address netip.AddrPort `json:"address"`
	// AvailabilityZone is where the VM runs.
	AvailabilityZone string `json:"availability-zone"`
	// Leaving reports that the VM is about to be stopped.
	Leaving bool `json:"leaving,omitempty"`
}
