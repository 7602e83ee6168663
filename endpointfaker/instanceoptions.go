package endpointfaker

import (
	"net/netip"
)

// InstanceOptions configures one instance.
type InstanceOptions struct {
	// ID identifies the instance and its host in the network.
	ID string
	// Address is the address that the instance listens on.
	Address netip.AddrPort
}
