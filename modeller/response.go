package modeller

import (
	"time"

	"github.com/marigoldgauge/marigoldgauge/tracker"
)

// Response is the complete response to a Statement.
type Response struct {
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

// NewErrorResponse returns a response with a result and an error text, and without rows.
func NewErrorResponse(r Result, detail string) Response {
	return Response{Result: r, Detail: detail}
}
