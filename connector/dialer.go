package connector

import "context"

// Dialer opens connections to instances.
type Dialer interface {
	// Dial opens a connection on behalf of an organisation. It returns a *Refusal if
	// the instance refuses the connection.
	Dial(ctx context.Context, t Target, organisation string) (Conn, error)
}
