package pooler

// Use is the number of connections in use at one instance.
type Use struct {
	// Instance names the instance.
	Instance string
	// Connections is the number of connections in use.
	Connections int
}
