package endpointfaker

import (
	"time"
)

// Options configures a group of instances.
type Options struct {
	// Name is the name of the group.
	Name string
	// Instances configures the instances; the first one is the initial primary.
	Instances []InstanceOptions
	// Slots is the maximum number of concurrent statements per instance; zero means
	// no limit.
	Slots int
	// MaxConnections is the maximum number of connections per instance; zero means no
	// limit.
	MaxConnections int
	// ConnectDelay is the time it takes to open a connection.
	ConnectDelay time.Duration
	// ServiceTime is the time that a statement holds its execution slot.
	ServiceTime time.Duration
	// Lag is the replication lag.
	Lag time.Duration
	// Reachable reports whether one instance can send to another; nil means always.
	Reachable func(from, to string) bool
	// OnExecute is called after every execution, unless it is nil.
	OnExecute func(Execution)
}
