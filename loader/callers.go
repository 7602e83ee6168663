package loader

import (
	"time"
)

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

// check holds the fields about callers against their ranges.
func (c *Callers) check(demand func(ok bool, format string, args ...any)) {
	demand(!c.RequireTLS || c.TLS.Certificate != "", "callers.require-tls needs callers.tls.certificate")
	demand(c.MaxMessageBytes >= 1024, "callers.max-message-bytes is below 1024")
	demand(c.StartupTimeout > 0 && c.QueueTimeout > 0 && c.WriteTimeout > 0, "the timeouts of callers must be above zero")
	c.TLS.check("callers.tls", demand)
}
