package connector

import "time"

// Bounds limits the connections of this VM to one instance.
type Bounds struct {
	// Share is the number of connections that this VM may hold at any time: the
	// shares of all VMs together fit the instance and leave room.
	Share int
	// Max is the largest number of connections; those beyond the share are
	// opened one by one while the instance has room, and not kept idle.
	Max int
	// IdleTimeout is how long a connection is kept without use.
	IdleTimeout time.Duration
}

// reservedFraction is the part of an instance's connections that all shares together
// leave free. An instance keeps the connections of VMs that lost power for
// seconds; without room beside them nobody is served after an outage of all VMs.
const reservedFraction = 1.0 / 3

const (
	// idleTimeout is how long an idle connection is kept.
	idleTimeout = 15 * time.Second
	// idleTimeoutWithoutShare is that time where the VMs are too many for a connection
	// each: long enough for the next statement of a caller.
	idleTimeoutWithoutShare = time.Second
)

// Usable returns the number of connections to an instance that takes most that
// all VMs together may hold.
func Usable(most int) float64 {
	return float64(most) * (1 - reservedFraction)
}

// NewBounds returns the bounds of a VM whose share of the connections to an
// instance that takes most is given. A share below one is none to keep: such a
// VM opens a connection when it needs one.
func NewBounds(most int, share float64) Bounds {
	b := Bounds{Share: int(share), Max: most, IdleTimeout: idleTimeout}
	if share < 1 {
		b.IdleTimeout = idleTimeoutWithoutShare
	}
	return b
}
