package sessioner

import (
	"net/netip"
	"time"

	"github.com/marigoldgauge/marigoldgauge/phraser"
)

// Caller is a client connection.
type Caller interface {
	// Startup reads the startup message and returns its database and key.
	Startup(deadline time.Time) (database, key string, err error)
	// Accept tells the client that its session is open.
	Accept() error
	// Reject tells the client why its session is refused.
	Reject(a phraser.Answer) error
	// Receive returns the next statement. It fails with ErrIdle when none has
	// begun to arrive before the deadline; the zero time means no deadline.
	Receive(deadline time.Time) (phraser.Statement, error)
	// Interrupt makes a blocked Receive fail with ErrIdle.
	Interrupt()
	// Reply sends the answer to the last statement.
	Reply(a phraser.Answer) error
	// Remote returns the remote address.
	Remote() netip.AddrPort
	// Close closes the connection.
	Close() error
}
