package connector

import "github.com/marigoldgauge/marigoldgauge/modeller"

// ControlError is the error returned when an instance responds to a statement of the proxy itself, for a
// reason other than its text, without running it.
type ControlError struct {
	// Kind is the kind of the statement.
	Kind modeller.Kind
	// Result and Detail are the response of the instance.
	Result modeller.Result
	Detail string
}

// Error returns the kind of the statement and the response.
func (e *ControlError) Error() string {
	return "the instance refused the " + e.Kind.String() + " statement: " + e.Result.String() + " " + e.Detail
}
