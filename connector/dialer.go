package connector

import "context"

// Dialer opens connections to instances.
type Dialer interface {
	// Dial opens a connection on behalf of an organisation. A refusal by the
	// instance is returned as a *Refusal.
	Dial(ctx context.Context, t Target, organisation string) (Conn, error)
}
