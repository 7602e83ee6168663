package loader

import (
	"net/netip"
)

// Listen tells where the process listens.
type Listen struct {
	// Callers is the address for callers.
	Callers netip.AddrPort `yaml:"callers"`
	// Peers is the address for the other VMs, which must reach it.
	Peers netip.AddrPort `yaml:"peers"`
	// Operators is the address for state dumps and metrics.
	Operators netip.AddrPort `yaml:"operators"`
}
