package connector

import "time"

// Bounds are the limits on the connections of this VM to one instance.
type Bounds struct {
	// Share is the number of connections that this VM may hold at any time. The
	// shares of all VMs together stay below the limit of the instance.
	Share int
	// Max is the maximum number of connections. Those beyond the share are opened
	// one by one while the instance has capacity, and are not kept idle.
	Max int
	// IdleTimeout is the time after which an idle connection is closed.
	IdleTimeout time.Duration
}

// reservedFraction is the fraction of an instance's connections that the shares of
// all VMs leave unused. An instance keeps the connections of VMs that lost power
// open for seconds; without spare connections no caller is served after an outage
// of all VMs.
const reservedFraction = 1.0 / 3

const (
	// idleTimeout is the time after which an idle connection is closed.
	idleTimeout = 15 * time.Second
	// idleTimeoutWithoutShare replaces idleTimeout where there are too many VMs for
	// one connection each. It is long enough for the next statement of a caller.
	idleTimeoutWithoutShare = time.Second
)

// UsableConnections returns the number of connections that all VMs together may hold to an
// instance that accepts at most limit connections.
func UsableConnections(limit int) float64 {
	return float64(limit) * (1 - reservedFraction)
}

// NewBounds returns the bounds of a VM with a share of the connections to an
// instance that accepts at most limit connections. A VM with a share below one
// keeps no connection: it opens one when it needs one.
func NewBounds(limit int, share float64) Bounds {
	b := Bounds{Share: int(share), Max: limit, IdleTimeout: idleTimeout}
	if share < 1 {
		b.IdleTimeout = idleTimeoutWithoutShare
	}
	return b
}
