package endpointfaker

import "maps"

// column is a column of a table.
type column struct {
	name string
	oid  uint32
}

// table is a table with its rows keyed by internal row number.
type table struct {
	columns []column
	rows    map[int64][]Value
	nextRow int64
}

// index returns the index of a column, or -1.
func (t *table) index(name string) int {
	for i, c := range t.columns {
		if c.name == name {
			return i
		}
	}
	return -1
}

// clone returns a copy whose rows can be replaced independently.
func (t *table) clone() *table {
	return &table{columns: t.columns, rows: maps.Clone(t.rows), nextRow: t.nextRow}
}

// operation is one change made by a transaction.
type operation struct {
	table  string
	create []column
	row    int64
	values []Value
}

// entry is a log entry that holds one committed transaction.
type entry struct {
	term       uint64
	operations []operation
	texts      []string
}

// database holds tables by name.
type database map[string]*table

// apply applies the operations of a log entry.
func (d database) apply(e entry) {
	for _, o := range e.operations {
		if o.create != nil {
			d[o.table] = &table{columns: o.create, rows: map[int64][]Value{}}
			continue
		}
		t := d[o.table]
		if t == nil {
			continue
		}
		t.nextRow = max(t.nextRow, o.row+1)
		if o.values == nil {
			delete(t.rows, o.row)
			continue
		}
		t.rows[o.row] = o.values
	}
}
