package endpointfaker

// result is the result of one statement.
type result struct {
	columns []column
	rows    [][]Value
	tag     string
	wrote   bool
}
