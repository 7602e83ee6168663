package loader

import (
	"time"
)

// Callers configures the connections of callers, the clients of the proxy.
type Callers struct {
	// TLS is the certificate presented to callers. Without it connections are unencrypted.
	TLS TLS `yaml:"tls"`
	// RequireTLS makes the listener refuse connections without TLS.
	RequireTLS bool `yaml:"require-tls"`
	// StartupTimeout is the timeout of the start-up exchange.
	StartupTimeout time.Duration `yaml:"startup-timeout"`
	// QueueTimeout is the maximum time that a request waits before it starts.
	QueueTimeout time.Duration `yaml:"queue-timeout"`
	// IdleTransactionTimeout is the maximum time that a caller may be idle within a transaction.
	IdleTransactionTimeout time.Duration `yaml:"idle-transaction-timeout"`
	// WriteTimeout is the timeout of each write to a caller.
	WriteTimeout time.Duration `yaml:"write-timeout"`
	// WithdrawGrace is the time that a running statement may take to finish after its key was withdrawn.
	WithdrawGrace time.Duration `yaml:"withdraw-grace"`
	// DrainTimeout is the maximum time that a VM waits for its callers while it drains.
	DrainTimeout time.Duration `yaml:"drain-timeout"`
	// MaxMessageBytes is the maximum size of a message from a caller.
	MaxMessageBytes int `yaml:"max-message-bytes"`
	// MaxConnections is the maximum number of connections from callers.
	MaxConnections int `yaml:"max-connections"`
}

// check validates the settings for callers.
func (c *Callers) check(require func(ok bool, format string, args ...any)) {
	require(!c.RequireTLS || c.TLS.Certificate != "", "callers.require-tls requires callers.tls.certificate")
	require(c.MaxMessageBytes >= 1024, "callers.max-message-bytes is below 1024")
	require(c.StartupTimeout > 0 && c.QueueTimeout > 0 && c.WriteTimeout > 0, "the timeouts of callers must be above zero")
	c.TLS.check("callers.tls", require)
}
