package dispatcher

import (
	"strconv"
	"time"

	"github.com/marigoldgauge/marigoldgauge/authorizer"
	"github.com/marigoldgauge/marigoldgauge/cataloguer"
	"github.com/marigoldgauge/marigoldgauge/connector"
	"github.com/marigoldgauge/marigoldgauge/modeller"
	"github.com/marigoldgauge/marigoldgauge/preparer"
	"github.com/marigoldgauge/marigoldgauge/tracker"
)

// Unit is a statement with the properties that determine where it runs.
type Unit struct {
	// Statement is the statement to run.
	Statement modeller.Statement
	// Prepared is the prepared statement that the statement executes; nil without one.
	Prepared *PreparedStatement
	// Writes reports whether the unit changes data.
	Writes bool
	// Route is the route that the caller connected to.
	Route cataloguer.Route
	// Organisation is the organisation of the caller.
	Organisation string
	// Grant permits the unit; nil if it depends on no key.
	Grant *authorizer.Grant
	// StartedAt is the time at which the caller sent the statement or began the transaction.
	StartedAt time.Time
	// SessionValues are the session values that the caller set.
	SessionValues map[string]string
	// LastCommit is the position of the last commit of the session; zero without a commit.
	LastCommit tracker.Position

	trace *trace
}

// PreparedStatement is the definition of a prepared statement.
type PreparedStatement struct {
	// Writes reports whether the prepared statement changes data.
	Writes bool
	// Text is the text of the prepared statement.
	Text string

	digest preparer.Digest
}

// NewPreparedStatement returns the definition of a prepared statement.
func NewPreparedStatement(writes bool, text string) PreparedStatement {
	return PreparedStatement{Writes: writes, Text: text, digest: preparer.NewDigest(strconv.FormatBool(writes), text)}
}

// preparedName returns the name that the prepared statement of the unit has on a connection. It is
// empty, which no message carries, if the unit has none.
func (u Unit) preparedName(conn *connector.PooledConn) string {
	if u.Prepared == nil {
		return ""
	}
	return conn.PreparedName(u.Prepared.digest)
}

// needsPrimary reports whether the unit may run only on the primary.
func (u Unit) needsPrimary() bool {
	return u.Writes || u.Route.Kind == cataloguer.Primary || u.Statement.WithoutPosition
}
