package endpointfaker

import "maps"

// column is a column of a table.
type column struct {
	name string
	oid  uint32
}

// table is a table with its rows by their internal number.
type table struct {
	columns []column
	rows    map[int64][]Value
	next    int64
}

// index returns the place of a column, or -1.
func (t *table) index(name string) int {
	for i, c := range t.columns {
		if c.name == name {
			return i
		}
	}
	return -1
}

// clone returns a copy whose rows may be replaced.
func (t *table) clone() *table {
	return &table{columns: t.columns, rows: maps.Clone(t.rows), next: t.next}
}

// operation is one step of a committed transaction.
type operation struct {
	table  string
	create []column
	row    int64
	values []Value
}

// entry is a committed transaction in the log.
type entry struct {
	term       uint64
	operations []operation
	marks      []string
}

// database holds the tables.
type database map[string]*table

// apply performs the operations of an entry.
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
		t.next = max(t.next, o.row+1)
		if o.values == nil {
			delete(t.rows, o.row)
			continue
		}
		t.rows[o.row] = o.values
	}
}
