package acceptor

import (
	"crypto/tls"
	"time"
)

// Settings are the settings for client connections.
type Settings struct {
	// VM is the ID of the VM that the clients are connected to.
	VM string
	// TLS is the TLS configuration for clients; nil disables TLS.
	TLS *tls.Config
	// RequireTLS makes the VM refuse clients without TLS.
	RequireTLS bool
	// StartupTimeout is the timeout of the start-up exchange.
	StartupTimeout time.Duration
	// QueueTimeout is the maximum time that a request waits before it starts.
	QueueTimeout time.Duration
	// IdleTransactionTimeout is the maximum time between two messages of a client
	// within a transaction.
	IdleTransactionTimeout time.Duration
	// WriteTimeout is the maximum time that a write of a part of a response to a
	// client takes.
	WriteTimeout time.Duration
	// WithdrawGrace is the time that a running statement has to finish after its
	// key was revoked.
	WithdrawGrace time.Duration
	// MaxMessageBytes is the maximum size of a message of a client.
	MaxMessageBytes int
	// MaxClients is the maximum number of client connections; zero is no limit.
	MaxClients int
}
