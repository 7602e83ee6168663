package classifier

// Kind tells what a statement text does.
type Kind int

const (
	// Empty holds no statement.
	Empty Kind = iota
	// Read changes nothing and may run on a replica.
	Read
	// Write may change something and runs on the primary.
	Write
	// Begin starts a transaction that may write.
	Begin
	// BeginReadOnly starts a transaction that cannot write.
	BeginReadOnly
	// End commits or rolls back a transaction.
	End
	// Within belongs inside a transaction, such as a savepoint or a cursor.
	Within
	// SetSession presents a session token.
	SetSession
	// Refused needs session state that pooling cannot keep.
	Refused
)

// String returns the kind in kebab case.
func (k Kind) String() string {
	return [...]string{"empty", "read", "write", "begin", "begin-read-only", "end", "within", "set-session", "refused"}[k]
}
