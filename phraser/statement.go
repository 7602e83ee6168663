package phraser

import "github.com/marigoldgauge/marigoldgauge/tracker"

// Statement is one statement of a caller, or of the product itself.
type Statement struct {
	// ID is the caller's id of the request, or empty for a statement of the product.
	ID string
	// Kind tells what the statement does.
	Kind Kind
	// Name is the name of a prepared statement or of a session value.
	Name string
	// Arguments is the rest of the statement, forwarded as it came.
	Arguments string
	// Writes tells, for Prepare, whether the prepared statement writes.
	Writes bool
	// After is the log position that an instance must hold to run the statement; zero asks for none.
	After tracker.Position
	// Term is the term of Pause and StepDown.
	Term uint64
}
