package configurator

// Route maps a database name to a database group.
type Route struct {
	// Database is the name that callers connect to.
	Database string `json:"database"`
	// Group is the database group that serves it.
	Group string `json:"group"`
	// Open reports whether callers may use the route without a key.
	Open bool `json:"open,omitempty"`
	// Capacity is the number of requests a second that the group can serve; zero if unknown.
	Capacity float64 `json:"capacity,omitempty"`
}
