package connector

import (
	"context"

	"github.com/marigoldgauge/marigoldgauge/modeller"
)

// Conn is an open connection to an instance. It runs one statement at a time.
type Conn interface {
	// Exchange sends a statement and returns its complete response.
	//
	// After an error the connection cannot be used again, and the statement may have
	// run.
	Exchange(ctx context.Context, s modeller.Statement) (modeller.Response, error)
	// Interrupt makes an Exchange in progress fail. It may be called at any time.
	Interrupt()
	// Alive reports whether the idle connection is still open at the instance.
	Alive() bool
	// Close closes the connection; the instance rolls back an open transaction.
	Close() error
}
