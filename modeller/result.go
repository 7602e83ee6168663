package modeller

// Result is the outcome of a statement at an instance.
type Result uint8

// The results.
const (
	// Done means that the statement succeeded.
	Done Result = iota
	// Busy means that the instance was at capacity; the statement did not run.
	Busy
	// Unprepared means that the prepared statement is unknown; the statement did not run.
	Unprepared
	// Lagging means that the log had not reached the required position; the statement did not run.
	Lagging
	// ReadOnly means that the instance is not the primary; the transaction is rolled back.
	ReadOnly
	// Moved means that the address belongs to another instance.
	Moved
	// ConnectionLimitReached means that the instance has reached its connection limit.
	ConnectionLimitReached
	// Failed means that the statement was executed and failed.
	Failed
	// TimedOut means that the instance cancelled the statement after a timeout.
	TimedOut
	// Aborted means that the transaction was rolled back.
	Aborted
	// InDoubt means that the statement may or may not have taken effect.
	InDoubt
	// ProtocolError means that the statement is malformed or not allowed in the session state.
	ProtocolError
	// UnknownDatabase means that no route matches the database name.
	UnknownDatabase
	// UnknownKey means that the client's API key belongs to no organisation.
	UnknownKey
	// Other is any result not listed above.
	Other
)

// resultNames are the names of the results in logs.
var resultNames = [...]string{
	"done", "busy", "unprepared", "lagging", "read-only", "moved", "full", "failed",
	"timed-out", "aborted", "in-doubt", "misused", "unknown-database", "unknown-key", "other",
}

// String returns the name of the result in logs.
func (r Result) String() string {
	if int(r) >= len(resultNames) {
		return "other"
	}
	return resultNames[r]
}

// DidNotRun reports whether the result guarantees that the statement did not run.
func (r Result) DidNotRun() bool {
	switch r {
	case Busy, Unprepared, Lagging, ReadOnly, Moved, ConnectionLimitReached:
		return true
	default:
		return false
	}
}
