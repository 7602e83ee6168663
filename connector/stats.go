package connector

// Stats tells how a Pool stands.
type Stats struct {
	// Open is the number of connections held, Idle of those without use, and
	// Dialling of those being opened.
	Open, Idle, Dialling int
	// Waiting is the number of callers that wait for a connection.
	Waiting int
	// Share is the number of connections that the VM may always hold.
	Share int
	// FullTimes is how often in a row the instance had no room.
	FullTimes int
	// Opened is the number of connections ever opened.
	Opened uint64
}
