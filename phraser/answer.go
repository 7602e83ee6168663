package phraser

import (
	"time"

	"github.com/marigoldgauge/marigoldgauge/tracker"
)

// Answer is the whole answer to a Statement.
type Answer struct {
	// Rows are the rows, as the instance wrote them.
	Rows []string
	// Signature vouches that the instance ran the statement.
	Signature string
	// Result tells how the statement ended.
	Result Result
	// Detail explains a result other than Done.
	Detail string
	// RetryAfter is when a refused caller should come back; zero when it is not known.
	RetryAfter time.Duration
	// State is the state of the session after the answer.
	State State
	// Position is where the log of the instance stood; zero when it is not known.
	Position tracker.Position
	// Status is the answer to Status, Pause, Resume and StepDown.
	Status *InstanceStatus
}

// Refuse returns an answer without rows.
func Refuse(r Result, detail string) Answer {
	return Answer{Result: r, Detail: detail}
}
