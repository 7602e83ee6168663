package pooler

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

// endsWithFlush reports whether the answer ends with a flush, so that more of it may follow.
func (b *Batch) endsWithFlush() bool {
	return len(b.Steps) > 0 && b.Steps[len(b.Steps)-1].Kind == Flush
}

// parseMessage returns the Parse message of a statement.
func (b *Batch) parseMessage(statement string) []byte {
	for _, d := range b.Definitions {
		if d.Statement == statement {
			return d.Raw
		}
	}
	return nil
}
