package endpointfaker

import (
	"net/netip"
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

// InstanceOptions describe one instance.
type InstanceOptions struct {
	// ID names the instance, and its place in the network.
	ID string
	// Address is where it listens.
	Address netip.AddrPort
}

// Execution is one statement that an instance ran.
type Execution struct {
	// Instance is the instance that ran it.
	Instance string
	// Organisation is the organisation that the connection was set to.
	Organisation string
	// Text is the statement.
	Text string
	// Texts are the text parameters and constants; they tell statements apart.
	Texts []string
	// Write reports whether the statement wrote.
	Write bool
	// Term is the term of the instance's log.
	Term uint64
	// Replaced reports whether another instance had been promoted in a later term.
	Replaced bool
	// At is the time of the execution.
	At time.Time
}
