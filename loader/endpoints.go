package loader

import (
	"time"
)

// Endpoints configures the connections to the endpoints: the proxies' own
// credentials, timeouts and queue limits.
type Endpoints struct {
	// User is the proxies' user name at the endpoints.
	User string `yaml:"user"`
	// Password is the password of User.
	Password string `yaml:"password"`
	// Database is the name of the database at the endpoints.
	Database string `yaml:"database"`
	// ConnectTimeout is the timeout for opening a connection.
	ConnectTimeout time.Duration `yaml:"connect-timeout"`
	// StatementTimeout is the timeout for the response to a batch.
	StatementTimeout time.Duration `yaml:"statement-timeout"`
	// ProbeInterval is the interval between status requests to an instance.
	ProbeInterval time.Duration `yaml:"probe-interval"`
	// MaxRateWait is the maximum time that a request waits for its organisation's rate limit before it is refused.
	RateWait time.Duration `yaml:"rate-wait"`
	// MaxReplicaWait is the maximum time that a read waits for a replica to catch up before it goes to the primary.
	ReplicaWait time.Duration `yaml:"replica-wait"`
	// MaxQueueLength is the maximum number of requests of one organisation that are queued for one instance.
	QueueLength int `yaml:"queue-length"`
}
