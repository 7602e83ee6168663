// Package pooler manages the connection pools of database groups.
//
// Connections to the endpoints are scarce, so one VM at a time owns the pool of a
// group for the whole fleet. The owner shares the connections fairly among the
// organisations, enforces their rate limits, tracks the positions of the
// instances, confirms writes and replaces a failed primary.
package pooler

import (
	"net/netip"
	"time"

	"github.com/marigoldgauge/marigoldgauge/prober"
	"github.com/marigoldgauge/marigoldgauge/promoter"
)

// Settings describes a database group and how its pool serves it.
type Settings struct {
	// Name is the name of the group.
	Name string
	// Instances lists the instances of the group.
	Instances []Instance
	// Slots is the number of statements that an instance runs concurrently.
	Slots int
	// MaxConnections is the maximum number of connections to an instance.
	MaxConnections int
	// User is the user name of the proxy at the endpoints.
	User string
	// Password is the password of the proxy at the endpoints.
	Password string
	// Database is the name of the database at the endpoints.
	Database string
	// ProbeInterval is the interval between status requests to an instance.
	ProbeInterval time.Duration
	// ConnectTimeout bounds the time to open a connection.
	ConnectTimeout time.Duration
	// StatementTimeout bounds the wait for the response to a batch; zero means no bound.
	StatementTimeout time.Duration
	// MaxRateWait is the maximum wait for a rate limit token before a request is rejected.
	MaxRateWait time.Duration
	// MaxReplicaWait is the maximum wait for a replica to catch up before a read goes to
	// the primary.
	MaxReplicaWait time.Duration
	// MaxQueueLength is the maximum number of queued requests of one organisation.
	MaxQueueLength int
	// Promotion configures the timing of promotions.
	Promotion promoter.Config
}

// Instance is one database instance of a group.
type Instance struct {
	// ID names the instance.
	ID string
	// Address is the address at which the instance listens.
	Address netip.AddrPort
}

// target returns the connection parameters of an instance.
func (s Settings) target(i Instance, dial prober.Dial) prober.Target {
	return prober.Target{Address: i.Address, User: s.User, Password: s.Password, Database: s.Database, Dial: dial}
}

const (
	// reservedConnections is the number of connections to an instance that are
	// reserved for control connections and observers.
	reservedConnections = 3
	// maxConfirmationAge is the age of the last confirmation of the primary above
	// which no write is sent to it.
	maxConfirmationAge = time.Second
	// confirmTimeout bounds the wait for the confirmation of a write.
	confirmTimeout = 3 * time.Second
	// deadTimeout is the time without a status response after which the connections
	// to an instance are closed.
	deadTimeout = 2 * time.Second
	// probeTimeout bounds a status request.
	probeTimeout = 2 * time.Second
	// monitorInterval is the interval between checks of queues and promotions.
	monitorInterval = 20 * time.Millisecond
	// shareInterval is the interval between exchanges with a rate owner.
	shareInterval = 200 * time.Millisecond
)

// usable returns the number of connections to an instance that clients may use.
func (s Settings) usable() int {
	return max(s.MaxConnections-reservedConnections, 1)
}
