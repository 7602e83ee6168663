package sessioner

import (
	"net/netip"
	"time"

	"github.com/marigoldgauge/marigoldgauge/phraser"
)

// Caller is the connection of a caller.
type Caller interface {
	// Startup returns the database and the key that the caller presents.
	Startup(until time.Time) (database, key string, err error)
	// Accept tells the caller that its session is open.
	Accept() error
	// Reject tells the caller why its session is not opened.
	Reject(a phraser.Answer) error
	// Receive returns the next statement. It fails with ErrIdle when none has
	// begun to arrive in time; the zero time waits for ever.
	Receive(until time.Time) (phraser.Statement, error)
	// Interrupt makes a Receive that waits fail with ErrIdle.
	Interrupt()
	// Reply sends the answer to the last statement.
	Reply(a phraser.Answer) error
	// Remote returns where the caller is.
	Remote() netip.AddrPort
	// Close ends the connection.
	Close() error
}
