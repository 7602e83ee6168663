package loader

import (
	"net/netip"
)

// Seed is a VM that a process contacts at startup.
type Seed struct {
	// ID is the unique name of the VM.
	ID string `yaml:"id"`
	// Address is the VM's listen address for peers.
	Address netip.AddrPort `yaml:"address"`
}
