package pooler

// Batch is a sequence of client messages that yields one response.
type Batch struct {
	// Steps are the messages; the last one is a Query, a Sync or a Flush.
	Steps []Step
	// Prepared are the statements that the steps refer to.
	Prepared []PreparedStatement
	// Writes reports that the batch may commit a write.
	Writes bool
	// CountsAgainstRate reports that the batch counts against the organisation's rate.
	// Transaction control and the preparation of statements do not count.
	CountsAgainstRate bool
}

// endsWithFlush reports whether the batch ends with a Flush, after which the
// client may send more messages before the Sync.
func (b *Batch) endsWithFlush() bool {
	return len(b.Steps) > 0 && b.Steps[len(b.Steps)-1].Kind == Flush
}

// parseMessage returns the encoded Parse message of a statement, or nil.
func (b *Batch) parseMessage(statement string) []byte {
	for _, d := range b.Prepared {
		if d.Name == statement {
			return d.Raw
		}
	}
	return nil
}
