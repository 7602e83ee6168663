package dispatcher

import (
	"time"

	"github.com/marigoldgauge/marigoldgauge/cataloguer"
	"github.com/marigoldgauge/marigoldgauge/phraser"
	"github.com/marigoldgauge/marigoldgauge/tracker"
)

// Unit is a statement with all that decides where it runs.
type Unit struct {
	// Statement is what to run.
	Statement phraser.Statement
	// Definition is the prepared statement that it executes, if it does.
	Definition *Definition
	// Writes reports that it changes data.
	Writes bool
	// Route is how its caller came.
	Route cataloguer.Route
	// Organisation is who the caller belongs to.
	Organisation string
	// Began is when the caller sent the statement, or the transaction.
	Began time.Time
	// Values are the session values of the caller.
	Values map[string]string
	// Session is the position of the last commit of the session; zero without one.
	Session tracker.Position

	trace *trace
}

// Definition is a prepared statement.
type Definition struct {
	// Writes reports that it changes data.
	Writes bool
	// Shape is its text.
	Shape string
}

// name returns the name under which instances know the definition. Equal
// definitions of different callers share one.
func (d Definition) name() string {
	if d.Writes {
		return "w_" + d.Shape
	}
	return "r_" + d.Shape
}

// needsPrimary reports whether only the primary may run the unit.
func (u Unit) needsPrimary() bool {
	return u.Writes || u.Route.Kind == cataloguer.Primary
}
