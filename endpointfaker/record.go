package endpointfaker

import (
	"time"
)

// Execution is one statement that an instance ran.
type Execution struct {
	// Instance is the instance that ran it.
	Instance string
	// Organisation is the organisation that the connection was set to.
	Organisation string
	// Text is the statement.
	Text string
	// Texts are the text parameters and constants; they tell statements apart.
	Texts []string
	// Write reports whether the statement wrote.
	Write bool
	// Term is the term of the instance's log.
	Term uint64
	// Replaced reports whether another instance had been promoted in a later term.
	Replaced bool
	// At is the time of the execution.
	At time.Time
}
