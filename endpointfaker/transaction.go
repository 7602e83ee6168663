package endpointfaker

import "time"

// transaction is the work of a session that is not committed yet.
type transaction struct {
	instance   *Instance
	term       uint64
	explicit   bool
	readOnly   bool
	failed     bool
	holdsLock  bool
	tables     map[string]*table
	operations []operation
	marks      []string
}

// begin starts a transaction.
func (i *Instance) begin(explicit, readOnly bool) *transaction {
	term, _ := i.leads()
	return &transaction{instance: i, term: term, explicit: explicit, readOnly: readOnly, tables: map[string]*table{}}
}

// read returns a table as the transaction sees it.
func (t *transaction) read(name string) (*table, error) {
	if own := t.tables[name]; own != nil {
		return own, nil
	}
	t.instance.mu.Lock()
	defer t.instance.mu.Unlock()
	shared := t.instance.data[name]
	if shared == nil {
		return nil, failure("42P01", "relation \""+name+"\" does not exist")
	}
	return shared.clone(), nil
}

// lock makes the transaction the one that writes.
func (t *transaction) lock(done <-chan struct{}) error {
	if t.readOnly {
		return failure("25006", "cannot write in a read-only transaction")
	}
	if _, primary := t.instance.leads(); !primary {
		return failure("25006", "cannot write on a replica")
	}
	if t.holdsLock {
		return nil
	}
	select {
	case t.instance.writer <- struct{}{}:
		t.holdsLock = true
		return nil
	case <-done:
		return failure("57P01", "the connection was closed")
	}
}

// write returns a table that the transaction may change.
func (t *transaction) write(name string, done <-chan struct{}) (*table, error) {
	if err := t.lock(done); err != nil {
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

// record notes a change of a row; nil values delete it.
func (t *transaction) record(name string, row int64, values []Value) {
	own := t.tables[name]
	if values == nil {
		delete(own.rows, row)
	} else {
		own.rows[row] = values
	}
	t.operations = append(t.operations, operation{table: name, row: row, values: values})
}

// commit puts the transaction into the log.
func (t *transaction) commit(now time.Time) error {
	defer t.release()
	if !t.instance.commit(now, t.term, t.operations, t.marks) && len(t.operations) > 0 {
		return failure("57P01", "the instance no longer leads its term")
	}
	return nil
}

// release lets the next transaction write.
func (t *transaction) release() {
	if t.holdsLock {
		t.holdsLock = false
		<-t.instance.writer
	}
}
