package endpointfaker

import (
	"time"
)

// Execution describes one statement that an instance executed.
type Execution struct {
	// Instance is the ID of the instance that executed the statement.
	Instance string
	// Organisation is the organisation set on the session.
	Organisation string
	// Text is the SQL text of the statement.
	Text string
	// TextValues are the text parameters and constants, which identify the statement.
	TextValues []string
	// Write reports whether the statement wrote data.
	Write bool
	// Term is the term of the instance's history when the transaction began.
	Term uint64
	// Superseded reports whether another instance had been promoted in a later term.
	Superseded bool
	// At is the time of the execution.
	At time.Time
}
