package cataloguer

import "time"

// Route maps the name of a database to a group.
type Route struct {
	// Name is the name of the route.
	Name string
	// Database is the database name that callers connect to.
	Database string
	// Group is the group of instances that serves it.
	Group string
	// Kind is the read consistency of the route.
	Kind RouteKind
	// MaxStaleness is the maximum staleness of reads.
	MaxStaleness time.Duration
	// Timeout limits the time of one statement.
	Timeout time.Duration
	// TargetLatency is the target latency of a whole operation.
	TargetLatency time.Duration
	// Priority orders the routes; 0 is the highest.
	Priority int
	// Public reports whether callers need no key.
	Public bool
}
