package coder

// Row is one line of the result code table.
type Row struct {
	// Code numbers the result.
	Code Code
	// Name is the kebab-case name of the result.
	Name string
	// SQLState is the five-character code that a PostgreSQL client sees.
	SQLState string
	// Meaning tells what happened.
	Meaning string
	// Action tells what a caller or an operator does about it.
	Action string
}
