package pooler

// StepKind is the kind of a Step.
type StepKind uint8

// The kinds of steps, one per message type of the PostgreSQL protocol.
const (
	Query StepKind = iota + 1
	Parse
	Bind
	DescribeStatement
	DescribePortal
	Execute
	CloseStatement
	ClosePortal
	Sync
	Flush
)

// Step is one client message, in which statement names are replaced by global ones.
type Step struct {
	// Kind is the type of the message.
	Kind StepKind
	// Statement is the global name of the statement that the message refers to, if any.
	Statement string
	// Raw is the encoded message.
	Raw []byte
}
