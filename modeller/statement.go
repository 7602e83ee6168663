package modeller

import "github.com/marigoldgauge/marigoldgauge/tracker"

// Statement is a statement sent by a client or by the proxy itself.
type Statement struct {
	// ID is the client's request ID; empty for a statement of the proxy itself.
	ID string
	// Kind is the type of the statement.
	Kind Kind
	// Name is the name of a prepared statement or of a session variable.
	Name string
	// Arguments is the rest of the statement, forwarded unchanged.
	Arguments string
	// Writes reports, for Prepare, whether the prepared statement writes.
	Writes bool
	// MinPosition is the log position that the instance must have reached before it runs the statement; zero means none.
	MinPosition tracker.Position
	// WithoutPosition reports that the message of the statement has no room for MinPosition, so that a
	// read runs on the primary.
	WithoutPosition bool
	// Term is the term given to Pause and StepDown.
	Term uint64
}
