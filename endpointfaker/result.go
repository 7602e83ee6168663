package endpointfaker

// result is the answer to one statement.
type result struct {
	columns []column
	rows    [][]Value
	tag     string
	wrote   bool
}
