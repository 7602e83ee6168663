package pooler

// StepKind tells what a Step is.
type StepKind uint8

// The kinds of steps, by message of the PostgreSQL protocol.
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

// Step is one message of a caller, with statement names made global.
type Step struct {
	// Kind tells what the message is.
	Kind StepKind
	// Statement is the global name of the statement concerned, if any.
	Statement string
	// Raw is the encoded message.
	Raw []byte
}
