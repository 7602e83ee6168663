package endpointfaker

import (
	"net/netip"
)

// InstanceOptions describe one instance.
type InstanceOptions struct {
	// ID names the instance, and its place in the network.
	ID string
	// Address is where it listens.
	Address netip.AddrPort
}
