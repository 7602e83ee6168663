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

// Definition is the Parse message of a statement that a batch refers to.
type Definition struct {
	// Statement is the global name of the statement.
	Statement string
	// Raw is the encoded Parse message.
	Raw []byte
}

// Batch is what a caller sends up to one end of an answer.
type Batch struct {
	// Steps are the messages; the last one is a Query or a Sync.
	Steps []Step
	// Definitions are the statements that the steps refer to.
	Definitions []Definition
	// Writes reports that the batch may commit a write.
	Writes bool
	// Charged reports that the batch counts against the organisation's rate:
	// transaction control and the preparation of statements do not.
	Charged bool
}

// flushes reports whether the answer ends with a flush, so that more of it may follow.
func (b *Batch) flushes() bool {
	return len(b.Steps) > 0 && b.Steps[len(b.Steps)-1].Kind == Flush
}

// definition returns the Parse message of a statement.
func (b *Batch) definition(statement string) []byte {
	for _, d := range b.Definitions {
		if d.Statement == statement {
			return d.Raw
		}
	}
	return nil
}
