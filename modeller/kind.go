// Package modeller models the statements and responses exchanged between clients
// and instances, independently of the wire protocol.
package modeller

// Kind is the type of a Statement.
type Kind uint8

// The kinds of statements.
const (
	// Invalid is a statement that could not be parsed.
	Invalid Kind = iota
	// Read reads one item.
	Read
	// Write changes one item.
	Write
	// Begin starts a read-write transaction.
	Begin
	// BeginReadOnly starts a read-only transaction.
	BeginReadOnly
	// Commit commits a transaction.
	Commit
	// Rollback rolls back a transaction.
	Rollback
	// Set sets a session variable.
	Set
	// Prepare creates a prepared statement.
	Prepare
	// Execute executes a prepared statement.
	Execute
	// Deallocate removes a prepared statement.
	Deallocate
	// Discard resets the session variables and prepared statements of a connection.
	Discard
	// Status requests the status of an instance.
	Status
	// Pause stops a replica from receiving log entries.
	Pause
	// Resume lets a paused replica receive log entries again.
	Resume
	// StepDown demotes a primary of an earlier term to a replica.
	StepDown
)

// kindNames are the names of the kinds in logs.
var kindNames = [...]string{
	"invalid", "read", "write", "begin", "begin-read-only", "commit", "rollback", "set",
	"prepare", "execute", "deallocate", "discard", "status", "pause", "resume", "step-down",
}

// String returns the name of the kind in logs.
func (k Kind) String() string {
	if int(k) >= len(kindNames) {
		return "invalid"
	}
	return kindNames[k]
}
