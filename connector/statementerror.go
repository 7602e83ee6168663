package connector

import "github.com/marigoldgauge/marigoldgauge/modeller"

// StatementError is the error returned when an instance does not understand a statement that sets a
// session value or prepares a statement on behalf of a caller.
type StatementError struct {
	// Kind is the kind of the statement.
	Kind modeller.Kind
	// Detail is the explanation that the instance gave.
	Detail string
}

// Error returns the kind and the explanation.
func (e *StatementError) Error() string {
	return "the instance does not understand the " + e.Kind.String() + " statement: " + e.Detail
}
