package phraser

import (
	"time"

	"github.com/marigoldgauge/marigoldgauge/tracker"
)

// Answer is the complete response to a Statement.
type Answer struct {
	// Rows are the rows as the instance sent them.
	Rows []string
	// Signature proves that the instance executed the statement.
	Signature string
	// Result is the outcome of the statement.
	Result Result
	// Detail is the error text of a result other than Done.
	Detail string
	// RetryAfter is the delay after which a rejected client should retry; zero means unknown.
	RetryAfter time.Duration
	// State is the transaction state of the session after the response.
	State State
	// Position is the log position of the instance; zero means unknown.
	Position tracker.Position
	// Status is the status returned by Status, Pause, Resume and StepDown.
	Status *InstanceStatus
}

// Refuse returns a response with a result and an error text, and without rows.
func Refuse(r Result, detail string) Answer {
	return Answer{Result: r, Detail: detail}
}
