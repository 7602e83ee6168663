package gossiper

import "time"

// relayBasis is what the relays of an availability zone are derived from: the VMs that are
// known there, the registered VMs, the attempts to reach silent ones, and this VM's own
// state in its availability zone.
type relayBasis struct {
	candidacy       uint64
	seeds, attempts uint64
	leaving         bool
	capacity        uint8
}

// relayList is the cached list of the relays of an availability zone. It is valid while
// its basis is the same, until the time validUntil unless that is zero.
type relayList struct {
	basis      relayBasis
	validUntil time.Time
	names      []string
}

// limit makes the list valid until a time at most.
func (c *relayList) limit(until time.Time) {
	if c.validUntil.IsZero() || until.Before(c.validUntil) {
		c.validUntil = until
	}
}
