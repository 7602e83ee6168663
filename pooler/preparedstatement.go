package pooler

// Definition is a prepared statement that a batch refers to.
type Definition struct {
	// Statement is the global name of the statement.
	Statement string
	// Raw is the encoded Parse message.
	Raw []byte
}
