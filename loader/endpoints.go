package loader

import (
	"time"
)

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
