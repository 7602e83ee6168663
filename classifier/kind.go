package classifier

// Kind is the kind of a statement text.
type Kind int

const (
	// Empty is a text without statements.
	Empty Kind = iota
	// Read does not modify data and may run on a replica.
	Read
	// Write may modify data and runs on the primary.
	Write
	// Begin starts a read-write transaction.
	Begin
	// BeginReadOnly starts a read-only transaction.
	BeginReadOnly
	// End commits or rolls back a transaction.
	End
	// InTransaction is valid within a transaction only, such as a savepoint or a cursor.
	InTransaction
	// SetSession sets the session token.
	SetSession
	// Refused is not supported, mostly since it needs session state, which pooled
	// connections do not keep.
	Refused
)

// String returns the kind in kebab case.
func (k Kind) String() string {
	return [...]string{"empty", "read", "write", "begin", "begin-read-only", "end", "within", "set-session", "refused"}[k]
}
