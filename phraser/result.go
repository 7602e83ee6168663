package phraser

// Result tells how a statement ended at an instance.
type Result uint8

// The results.
const (
	// Done is a complete answer.
	Done Result = iota
	// Busy means that the instance had no room; the statement did not run.
	Busy
	// Unprepared means that the prepared statement is unknown; the statement did not run.
	Unprepared
	// Lagging means that the log lacks the required position; the statement did not run.
	Lagging
	// ReadOnly means that the instance does not lead; nothing of the transaction is kept.
	ReadOnly
	// Moved means that the address belongs to another instance.
	Moved
	// Full means that the instance takes no more connections.
	Full
	// Failed means that the statement ran and failed.
	Failed
	// TimedOut means that the instance gave up on the statement.
	TimedOut
	// Aborted means that nothing of the transaction is kept.
	Aborted
	// InDoubt means that the statement may or may not have taken effect.
	InDoubt
	// Misused means that the statement is not allowed in the state of the session.
	Misused
	// UnknownDatabase means that no route has the name of the database.
	UnknownDatabase
	// UnknownKey means that no organisation holds the caller's key.
	UnknownKey
	// Other is a result that is not listed here.
	Other
)

// resultNames are the results as they appear in logs.
var resultNames = [...]string{
	"done", "busy", "unprepared", "lagging", "read-only", "moved", "full", "failed",
	"timed-out", "aborted", "in-doubt", "misused", "unknown-database", "unknown-key", "other",
}

// String returns the result as it appears in logs.
func (r Result) String() string {
	if int(r) >= len(resultNames) {
		return "other"
	}
	return resultNames[r]
}

// DidNotRun reports whether the instance vouches that the statement did not run.
func (r Result) DidNotRun() bool {
	switch r {
	case Busy, Unprepared, Lagging, ReadOnly, Moved, Full:
		return true
	default:
		return false
	}
}
