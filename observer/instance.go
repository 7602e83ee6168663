package observer

import (
	"net/netip"
	"time"
)

// Instance is an instance as the platform lists it.
type Instance struct {
	// ID names the instance.
	ID string
	// Group is the group that it belongs to.
	Group string
	// Address is where it listens.
	Address netip.AddrPort
	// AvailabilityZone is where it runs.
	AvailabilityZone string
	// Slots is the number of statements that it runs at a time.
	Slots int
	// Leaving reports that it is about to end.
	Leaving bool
	// Leads reports that it takes itself for the primary.
	Leads bool
	// Started tells its processes apart.
	Started time.Time
	// ColdFor is how much longer it stays slow after its start.
	ColdFor time.Duration
}
