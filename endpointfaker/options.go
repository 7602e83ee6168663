package endpointfaker

import (
	"time"
)

// Options describe a group of instances.
type Options struct {
	// Name names the group.
	Name string
	// Instances are the instances; the first one is the primary at the start.
	Instances []InstanceOptions
	// Slots is the number of statements that an instance runs at once; zero is no limit.
	Slots int
	// Connections is the number of connections that an instance takes.
	Connections int
	// ConnectDelay is the time that a new connection takes.
	ConnectDelay time.Duration
	// ServiceTime is the time that a statement takes within its slot.
	ServiceTime time.Duration
	// Lag is the time by which replicas stay behind their primary.
	Lag time.Duration
	// Reaches reports whether traffic passes from one instance to another; nil is always.
	Reaches func(from, to string) bool
	// OnExecute is told of every execution; nil is nobody.
	OnExecute func(Execution)
}
