package pooler

// PreparedStatement is a prepared statement that a batch refers to.
type PreparedStatement struct {
	// Name is the global name of the statement.
	Name string
	// Raw is the encoded Parse message.
	Raw []byte
}
