package connector

import (
	"context"

	"github.com/marigoldgauge/marigoldgauge/phraser"
)

// Conn is an open connection to an instance. It runs one statement at a time.
type Conn interface {
	// Exchange sends a statement and returns its whole answer.
	//
	// After an error the connection is of no more use, and the statement may have run.
	Exchange(ctx context.Context, s phraser.Statement) (phraser.Answer, error)
	// Alive reports whether the instance has kept the idle connection open.
	Alive() bool
	// Close ends the connection; an open transaction is rolled back.
	Close() error
}
