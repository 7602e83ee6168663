package connector

// Stats are the statistics of a Pool.
type Stats struct {
	// Open is the number of open connections including those being opened, Idle the
	// number of idle ones, and Dialling the number of those being opened.
	Open, Idle, Dialling int
	// Waiting is the number of callers in the queue for a connection.
	Waiting int
	// Share is the number of connections that the VM may hold at any time.
	Share int
	// ConsecutiveFull is the number of consecutive dials refused because the instance was
	// full.
	ConsecutiveFull int
	// Opened is the total number of connections opened.
	Opened uint64
	// Prepared is the total number of statements prepared, and Deallocated of those removed again to make
	// room for others.
	Prepared, Deallocated uint64
}
