package connector

import "github.com/marigoldgauge/marigoldgauge/modeller"

// Refusal is the error returned when an instance refuses a connection.
type Refusal struct {
	// Result is the reason for the refusal.
	Result modeller.Result
	// Detail is the explanation that the instance gave.
	Detail string
}

// Error returns the result and the detail of the refusal.
func (r *Refusal) Error() string {
	return "instance refused the connection: " + r.Result.String() + " " + r.Detail
}
