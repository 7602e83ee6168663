// Package loader reads and checks the settings of a process.
package loader

import (
	"net/netip"
	"time"
)

// Settings are the settings of one process.
type Settings struct {
	// VM describes the VM on which the process runs.
	VM VM `yaml:"vm"`
	// Listen tells where the process listens.
	Listen Listen `yaml:"listen"`
	// Platform tells where the platform's store is.
	Platform Platform `yaml:"platform"`
	// Seeds are VMs to start from while the platform does not answer.
	Seeds []Seed `yaml:"seeds"`
	// Secrets are what the fleet shares.
	Secrets Secrets `yaml:"secrets"`
	// Callers tells how callers are served.
	Callers Callers `yaml:"callers"`
	// Peers tells how the connections between VMs are secured.
	Peers TLS `yaml:"peers"`
	// Endpoints are the proxies' own credentials at the endpoints.
	Endpoints Endpoints `yaml:"endpoints"`
	// Groups are the database groups.
	Groups []Group `yaml:"groups"`
	// Log tells what is logged.
	Log Log `yaml:"log"`
}

// VM describes the VM on which the process runs.
type VM struct {
	// ID names the VM.
	ID string `yaml:"id"`
	// AvailabilityZone is where the VM runs.
	AvailabilityZone string `yaml:"availability-zone"`
}

// Listen tells where the process listens.
type Listen struct {
	// Callers is the address for callers.
	Callers netip.AddrPort `yaml:"callers"`
	// Peers is the address for the other VMs, which must reach it.
	Peers netip.AddrPort `yaml:"peers"`
	// Operators is the address for state dumps and metrics.
	Operators netip.AddrPort `yaml:"operators"`
}

// Platform tells where the platform's store is.
type Platform struct {
	// URL is the address of the store, such as http://10.0.0.1:8400.
	URL string `yaml:"url"`
}

// Seed is a VM to start from.
type Seed struct {
	// ID names the VM.
	ID string `yaml:"id"`
	// Address is where it serves the other VMs.
	Address netip.AddrPort `yaml:"address"`
}

// Secrets are what the fleet shares.
type Secrets struct {
	// Sessions seal session tokens; the first one seals, all of them open.
	Sessions []Secret `yaml:"sessions"`
	// Decoy makes unknown keys look like known ones.
	Decoy string `yaml:"decoy"`
}

// Secret is one shared secret.
type Secret struct {
	// ID names the secret within a token.
	ID string `yaml:"id"`
	// Value is the secret, at least 16 characters.
	Value string `yaml:"value"`
}

// Callers tells how callers are served.
type Callers struct {
	// TLS holds the certificate that callers see; none is plain.
	TLS TLS `yaml:"tls"`
	// RequireTLS refuses callers without TLS.
	RequireTLS bool `yaml:"require-tls"`
	// StartupTimeout bounds the start-up exchange.
	StartupTimeout time.Duration `yaml:"startup-timeout"`
	// QueueTimeout bounds the wait of a request before it starts.
	QueueTimeout time.Duration `yaml:"queue-timeout"`
	// IdleTransactionTimeout bounds the pause of a caller within a transaction.
	IdleTransactionTimeout time.Duration `yaml:"idle-transaction-timeout"`
	// WriteTimeout bounds the time that a caller takes to accept a part of an answer.
	WriteTimeout time.Duration `yaml:"write-timeout"`
	// WithdrawGrace is the time that a statement gets after its key was withdrawn.
	WithdrawGrace time.Duration `yaml:"withdraw-grace"`
	// DrainTimeout bounds the time that a leaving VM gives its callers.
	DrainTimeout time.Duration `yaml:"drain-timeout"`
	// MaxMessageBytes bounds a message of a caller.
	MaxMessageBytes int `yaml:"max-message-bytes"`
	// MaxConnections bounds the connections of callers.
	MaxConnections int `yaml:"max-connections"`
}

// TLS names the files of a certificate.
type TLS struct {
	// Certificate is the file of the certificate.
	Certificate string `yaml:"certificate"`
	// Key is the file of the certificate's private key.
	Key string `yaml:"key"`
	// CA is the file of the authority that the other side's certificate must come from.
	CA string `yaml:"ca"`
}

// Endpoints are the proxies' own credentials at the endpoints.
type Endpoints struct {
	// User is the user at the endpoints.
	User string `yaml:"user"`
	// Password is the password at the endpoints.
	Password string `yaml:"password"`
	// Database is the database at the endpoints.
	Database string `yaml:"database"`
	// ConnectTimeout bounds the opening of a connection.
	ConnectTimeout time.Duration `yaml:"connect-timeout"`
	// StatementTimeout bounds the answer to a batch.
	StatementTimeout time.Duration `yaml:"statement-timeout"`
	// ProbeInterval is the time between two status requests to an instance.
	ProbeInterval time.Duration `yaml:"probe-interval"`
	// RateWait is the longest wait of a request for its organisation's rate.
	RateWait time.Duration `yaml:"rate-wait"`
	// ReplicaWait is the longest wait for a replica to catch up before a read goes to the primary.
	ReplicaWait time.Duration `yaml:"replica-wait"`
	// QueueLength bounds the requests of one organisation that wait for one instance.
	QueueLength int `yaml:"queue-length"`
}

// Group is a database group.
type Group struct {
	// Name names the group.
	Name string `yaml:"name"`
	// Slots is the number of statements that an instance runs at once.
	Slots int `yaml:"slots"`
	// Connections is the number of connections that an instance takes.
	Connections int `yaml:"connections"`
	// Instances are the instances.
	Instances []Instance `yaml:"instances"`
}

// Instance is one instance of a group.
type Instance struct {
	// ID names the instance.
	ID string `yaml:"id"`
	// Address is where it listens.
	Address netip.AddrPort `yaml:"address"`
}

// Log tells what is logged.
type Log struct {
	// Level is debug, info, warn or error.
	Level string `yaml:"level"`
}
