package connector

// Bounds limits the connections of this VM to one instance.
type Bounds struct {
	// Most is the largest number of connections.
	Most int
	// Idle is the largest number of connections that are kept without use.
	Idle int
}
