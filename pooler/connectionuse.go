package pooler

// ConnectionUse is the number of connections in use at one instance.
type ConnectionUse struct {
	// Instance names the instance.
	Instance string
	// Connections is the number of connections in use.
	Connections int
}
