package observer

import (
	"net/netip"
	"time"
)

// Instance is an instance as listed by the platform.
type Instance struct {
	// ID is the id of the instance.
	ID string
	// Group is the name of its database group.
	Group string
	// Address is the address on which it listens.
	Address netip.AddrPort
	// AvailabilityZone is the availability zone in which it runs.
	AvailabilityZone string
	// Slots is the number of statements that it runs concurrently.
	Slots int
	// Leaving reports whether it announced that it is about to stop.
	Leaving bool
	// Leads reports whether it regards itself as the primary.
	Leads bool
	// Started is its start time, which distinguishes its successive processes.
	Started time.Time
	// WarmupLeft is the time left until it has warmed up after its start; it is slow
	// until then.
	WarmupLeft time.Duration
}
