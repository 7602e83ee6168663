package pooler

// Definition is the Parse message of a statement that a batch refers to.
type Definition struct {
	// Statement is the global name of the statement.
	Statement string
	// Raw is the encoded Parse message.
	Raw []byte
}
