package coder

// Row is one row of the result code table.
type Row struct {
	// Code is the number of the result.
	Code Code
	// Name is the kebab-case name of the result.
	Name string
	// SQLState is the five-character SQLSTATE sent to PostgreSQL clients.
	SQLState string
	// Meaning describes the result.
	Meaning string
	// Action describes what a caller or an operator should do.
	Action string
}
