// Package pooler owns the scarce connections to the endpoints of a database
// group, for the whole fleet.
//
// One VM owns the pool of a group at a time. It shares the connections fairly
// among the organisations, holds each to its rate, follows the positions of the
// instances, confirms writes and replaces a primary that failed.
package pooler

import (
	"net/netip"
	"time"

	"github.com/marigoldgauge/marigoldgauge/prober"
	"github.com/marigoldgauge/marigoldgauge/promoter"
)

// Settings describe a database group and how it is served.
type Settings struct {
	// Name names the group.
	Name string
	// Instances are the instances of the group.
	Instances []Instance
	// Slots is the number of statements that an instance runs at once.
	Slots int
	// Connections is the number of connections that an instance takes.
	Connections int
	// User is the proxies' own user at the endpoints.
	User string
	// Password is the proxies' own password at the endpoints.
	Password string
	// Database is the database at the endpoints.
	Database string
	// ProbeInterval is the time between two status requests to an instance.
	ProbeInterval time.Duration
	// ConnectTimeout bounds the opening of a connection.
	ConnectTimeout time.Duration
	// StatementTimeout bounds the answer to a batch.
	StatementTimeout time.Duration
	// RateWait is the longest wait for a token before a refusal.
	RateWait time.Duration
	// ReplicaWait is the longest wait for a replica to catch up before a read goes to the primary.
	ReplicaWait time.Duration
	// QueueLength bounds the requests that wait for one organisation.
	QueueLength int
	// Promotion holds the times of promotions.
	Promotion promoter.Config
}

// Instance is one instance of a group.
type Instance struct {
	// ID names the instance.
	ID string
	// Address is where it listens.
	Address netip.AddrPort
}

// target returns how an instance is reached.
func (s Settings) target(i Instance, dial prober.Dial) prober.Target {
	return prober.Target{Address: i.Address, User: s.User, Password: s.Password, Database: s.Database, Dial: dial}
}

const (
	// reservedConnections are left for control connections and observers.
	reservedConnections = 3
	// maxConfirmationAge is the age of the last confirmation after which no write is sent.
	maxConfirmationAge = time.Second
	// confirmTimeout bounds the wait for the confirmation of a write.
	confirmTimeout = 3 * time.Second
	// deadTimeout is the silence after which the connections to an instance are closed.
	deadTimeout = 2 * time.Second
	// probeTimeout bounds a status request.
	probeTimeout = 2 * time.Second
	// monitorInterval is the time between two looks at queues and promotions.
	monitorInterval = 20 * time.Millisecond
	// shareInterval is the time between two exchanges with a rate owner.
	shareInterval = 200 * time.Millisecond
)

// usable returns the number of connections to an instance that callers may use.
func (s Settings) usable() int {
	return max(s.Connections-reservedConnections, 1)
}
