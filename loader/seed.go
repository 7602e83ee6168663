package loader

import (
	"net/netip"
)

// Seed is a VM to start from.
type Seed struct {
	// ID names the VM.
	ID string `yaml:"id"`
	// Address is where it serves the other VMs.
	Address netip.AddrPort `yaml:"address"`
}
