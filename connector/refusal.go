package connector

import "github.com/marigoldgauge/marigoldgauge/phraser"

// Refusal is the error of an instance that refuses a connection.
type Refusal struct {
	// Result tells why.
	Result phraser.Result
	// Detail is the instance's own explanation.
	Detail string
}

// Error describes the refusal.
func (r *Refusal) Error() string {
	return "the instance refused the connection: " + r.Result.String() + " " + r.Detail
}
