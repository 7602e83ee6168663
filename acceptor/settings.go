package acceptor

import (
	"crypto/tls"
	"time"
)

// Settings describe how callers are served.
type Settings struct {
	// VM is the VM that callers are connected to.
	VM string
	// TLS secures the connections of callers; nil is plain.
	TLS *tls.Config
	// RequireTLS refuses callers without TLS.
	RequireTLS bool
	// StartupTimeout bounds the start-up exchange.
	StartupTimeout time.Duration
	// QueueTimeout bounds the wait of a request before it starts.
	QueueTimeout time.Duration
	// IdleTransactionTimeout bounds the pause of a caller within a transaction.
	IdleTransactionTimeout time.Duration
	// WriteTimeout bounds the time that a caller takes to accept a part of an answer.
	WriteTimeout time.Duration
	// WithdrawGrace is the time that a statement gets after its key was withdrawn.
	WithdrawGrace time.Duration
	// MaxMessageBytes bounds a message of a caller.
	MaxMessageBytes int
	// MaxCallers bounds the connections of callers; zero is no bound.
	MaxCallers int
}
