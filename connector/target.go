package connector

import "net/netip"

// Target is an instance to connect to.
type Target struct {
	// Group is the group that the instance belongs to.
	Group string
	// Instance is the id of the instance.
	Instance string
	// Address is the address that the instance listens on.
	Address netip.AddrPort
}
