package loader

import (
	"net/netip"
)

// Listen holds the listen addresses of a process.
type Listen struct {
	// Callers is the address for connections from callers.
	Callers netip.AddrPort `yaml:"callers"`
	// Peers is the address for the other VMs. They must be able to reach it.
	Peers netip.AddrPort `yaml:"peers"`
	// Operators is the address for state dumps and metrics.
	Operators netip.AddrPort `yaml:"operators"`
}
