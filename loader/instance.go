package loader

import (
	"net/netip"
)

// Instance is one instance of a group.
type Instance struct {
	// ID names the instance.
	ID string `yaml:"id"`
	// Address is where it listens.
	Address netip.AddrPort `yaml:"address"`
}
