package loader

import (
	"net/netip"
)

// Instance is one instance of a database group.
type Instance struct {
	// ID is the name of the instance.
	ID string `yaml:"id"`
	// Address is the address on which the instance listens.
	Address netip.AddrPort `yaml:"address"`
}
