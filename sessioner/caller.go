package sessioner

import (
	"net/netip"
	"time"

	"github.com/marigoldgauge/marigoldgauge/modeller"
)

// Client is a client connection.
type Client interface {
	// ReadStartup reads the startup message and returns its database and key.
	ReadStartup(deadline time.Time) (database, key string, err error)
	// AcceptSession tells the client that its session is open.
	AcceptSession() error
	// EndSession tells the client, outside a response, why its session is refused or ends.
	EndSession(a modeller.Response) error
	// CompleteEnd responds to a statement that the client sent before it read the message of
	// EndSession: for the client, both together are the response.
	CompleteEnd() error
	// Receive returns the next statement. It fails with ErrNoStatement when none has
	// begun to arrive before the deadline; the zero time means no deadline.
	Receive(deadline time.Time) (modeller.Statement, error)
	// Interrupt makes a blocked Receive, or else the next one, fail with ErrNoStatement, unless
	// a statement has arrived.
	Interrupt()
	// Reply sends the answer to the last statement.
	Reply(a modeller.Response) error
	// RemoteAddress returns the remote address.
	RemoteAddress() netip.AddrPort
	// Close closes the connection.
	Close() error
}
