package endpointfaker

import "time"

// transaction holds the uncommitted changes of a session.
type transaction struct {
	instance       *Instance
	term           uint64
	explicit       bool
	readOnly       bool
	failed         bool
	holdsWriteLock bool
	tables         map[string]*table
	operations     []operation
	texts          []string
}

// begin starts a transaction in the current term of the instance.
func (i *Instance) begin(explicit, readOnly bool) *transaction {
	term, _ := i.primaryTerm()
	return &transaction{instance: i, term: term, explicit: explicit, readOnly: readOnly, tables: map[string]*table{}}
}

// read returns a table as it is visible to the transaction.
func (t *transaction) read(name string) (*table, error) {
	if own := t.tables[name]; own != nil {
		return own, nil
	}
	t.instance.mu.Lock()
	defer t.instance.mu.Unlock()
	shared := t.instance.data[name]
	if shared == nil {
		return nil, newPgError("42P01", "relation \""+name+"\" does not exist")
	}
	return shared.clone(), nil
}

// acquireWriteLock acquires the write lock of the instance.
func (t *transaction) acquireWriteLock(done <-chan struct{}) error {
	if t.readOnly {
		return newPgError("25006", "cannot write in a read-only transaction")
	}
	if _, primary := t.instance.primaryTerm(); !primary {
		return newPgError("25006", "cannot write on a replica")
	}
	if t.holdsWriteLock {
		return nil
	}
	select {
	case t.instance.writeLock <- struct{}{}:
		t.holdsWriteLock = true
		return nil
	case <-done:
		return newPgError("57P01", "the connection was closed")
	}
}

// write acquires the write lock and returns the transaction's own copy of a table.
func (t *transaction) write(name string, done <-chan struct{}) (*table, error) {
	if err := t.acquireWriteLock(done); err != nil {
		return nil, err
	}
	if own := t.tables[name]; own != nil {
		return own, nil
	}
	own, err := t.read(name)
	if err != nil {
		return nil, err
	}
	t.tables[name] = own
	return own, nil
}

// record applies a row change to the transaction's own copy of the table and adds
// it to the operations; nil values delete the row.
func (t *transaction) record(name string, row int64, values []Value) {
	own := t.tables[name]
	if values == nil {
		delete(own.rows, row)
	} else {
		own.rows[row] = values
	}
	t.operations = append(t.operations, operation{table: name, row: row, values: values})
}

// commit appends the transaction to the log of the instance.
func (t *transaction) commit(now time.Time) error {
	defer t.release()
	if !t.instance.commit(now, t.term, t.operations, t.texts) && len(t.operations) > 0 {
		return newPgError("57P01", "the instance no longer leads its term")
	}
	return nil
}

// release releases the write lock if the transaction holds it.
func (t *transaction) release() {
	if t.holdsWriteLock {
		t.holdsWriteLock = false
		<-t.instance.writeLock
	}
}
