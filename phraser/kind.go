// Package phraser holds the statements and answers that travel between callers
// and instances, in typed form and without regard to a protocol.
package phraser

// Kind tells what a Statement does.
type Kind uint8

// The kinds of statements.
const (
	// Invalid is a statement that could not be understood.
	Invalid Kind = iota
	// Read reads one item.
	Read
	// Write changes one item.
	Write
	// Begin opens a transaction that may write.
	Begin
	// BeginReadOnly opens a transaction that only reads.
	BeginReadOnly
	// Commit ends a transaction and keeps its changes.
	Commit
	// Rollback ends a transaction and drops its changes.
	Rollback
	// Set sets a session value.
	Set
	// Prepare defines a prepared statement.
	Prepare
	// Execute runs a prepared statement.
	Execute
	// Deallocate forgets a prepared statement.
	Deallocate
	// Discard drops the values and prepared statements of a connection.
	Discard
	// Status asks an instance for its Status.
	Status
	// Pause stops a replica from receiving.
	Pause
	// Resume lets a paused replica receive again.
	Resume
	// StepDown makes a primary of an earlier term a replica.
	StepDown
)

// kindNames are the kinds as they appear in logs.
var kindNames = [...]string{
	"invalid", "read", "write", "begin", "begin-read-only", "commit", "rollback", "set",
	"prepare", "execute", "deallocate", "discard", "status", "pause", "resume", "step-down",
}

// String returns the kind as it appears in logs.
func (k Kind) String() string {
	if int(k) >= len(kindNames) {
		return "invalid"
	}
	return kindNames[k]
}
