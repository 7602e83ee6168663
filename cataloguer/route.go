package cataloguer

import "time"

// Route leads from the name of a database to a group.
type Route struct {
	// Name names the route.
	Name string
	// Database is the name under which callers ask for it.
	Database string
	// Group is the group of instances that serves it.
	Group string
	// Kind tells what reads must see.
	Kind RouteKind
	// Staleness is how old reads may be.
	Staleness time.Duration
	// Timeout bounds one statement.
	Timeout time.Duration
	// Target is the time in which a whole operation should be answered.
	Target time.Duration
	// Priority orders the routes; 0 goes first.
	Priority int
	// Public reports that callers need no key.
	Public bool
}
