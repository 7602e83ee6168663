package enroller

import "net/netip"

// Entry is the entry of a VM in the register.
type Entry struct {
	// Peers is the address at which the process listens for other VMs.
	Peers            netip.AddrPort `json:"peers"`
	AvailabilityZone string         `json:"availability-zone"`
	// Capacity is the capacity class of the VM.
	Capacity uint8 `json:"capacity,omitempty"`
	// Incarnation identifies the process that wrote the entry among those of the VM; zero in entries of
	// earlier versions of this program.
	Incarnation uint64 `json:"incarnation,omitempty"`
}
