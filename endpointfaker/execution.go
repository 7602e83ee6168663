package endpointfaker

import (
	"strconv"
	"strings"
	"time"

	pgquery "github.com/pganalyze/pg_query_go/v6"
)

// execute runs one statement in an execution slot and within its transaction.
func (s *session) execute(n *pgquery.Node, text string, params []Value) (result, error) {
	if t := n.GetTransactionStmt(); t != nil {
		return s.controlTransaction(t)
	}
	if s.tx != nil && s.tx.failed {
		return result{}, newPgError("25P02", "the transaction is aborted")
	}
	if isSettingOrControlCall(n) {
		e := &evaluator{session: s, tx: s.instance.begin(false, true)}
		return e.statement(n)
	}
	tx := s.tx
	if tx == nil {
		tx = s.instance.begin(false, false)
		defer tx.release()
	}
	if needsWriteLock(n) {
		if err := tx.acquireWriteLock(s.done); err != nil {
			return result{}, err
		}
	}
	if err := s.acquireSlot(); err != nil {
		return result{}, err
	}
	defer s.releaseSlot()
	e := &evaluator{session: s, tx: tx, params: params}
	r, err := e.statement(n)
	if err != nil {
		return result{}, err
	}
	return r, s.complete(tx, e, r, text)
}

// complete commits a statement that runs outside an explicit transaction and
// reports the execution.
func (s *session) complete(tx *transaction, e *evaluator, r result, text string) error {
	if r.wrote {
		tx.texts = append(tx.texts, e.texts...)
	}
	superseded := s.instance.group.superseded(s.instance, tx.term)
	if !tx.explicit {
		if err := tx.commit(time.Now()); err != nil {
			return err
		}
		if r.wrote {
			s.dropResponse()
		}
	}
	s.instance.executions.Add(1)
	if f := s.instance.group.options.OnExecute; f != nil {
		f(Execution{
			Instance:     s.instance.id,
			Organisation: s.settings["marigoldgauge.organisation"],
			Text:         text,
			TextValues:   e.texts,
			Write:        r.wrote,
			Term:         tx.term,
			Superseded:   superseded,
			At:           time.Now(),
		})
	}
	return nil
}

// dropResponse marks the response as dropped and decrements DroppedResponses, if that is
// positive. The connection is then closed without a response.
func (s *session) dropResponse() {
	i := s.instance
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.faults.DroppedResponses > 0 {
		i.faults.DroppedResponses--
		s.responseDropped = true
	}
}

// controlTransaction executes a transaction control statement.
func (s *session) controlTransaction(t *pgquery.TransactionStmt) (result, error) {
	switch t.Kind {
	case pgquery.TransactionStmtKind_TRANS_STMT_BEGIN, pgquery.TransactionStmtKind_TRANS_STMT_START:
		if s.tx == nil {
			readOnly := false
			for _, o := range t.Options {
				d := o.GetDefElem()
				readOnly = readOnly || d.GetDefname() == "transaction_read_only" && d.GetArg().GetAConst().GetIval().GetIval() == 1
			}
			s.tx = s.instance.begin(true, readOnly)
		}
		return result{tag: "BEGIN"}, nil
	case pgquery.TransactionStmtKind_TRANS_STMT_COMMIT:
		return s.commit()
	case pgquery.TransactionStmtKind_TRANS_STMT_ROLLBACK:
		if s.tx != nil {
			s.tx.release()
			s.tx = nil
		}
		return result{tag: "ROLLBACK"}, nil
	default:
		return result{}, newPgError("0A000", "the stand-in knows no savepoints")
	}
}

// commit executes a COMMIT statement.
func (s *session) commit() (result, error) {
	tx := s.tx
	s.tx = nil
	switch {
	case tx == nil:
		return result{tag: "COMMIT"}, nil
	case tx.failed:
		tx.release()
		return result{tag: "ROLLBACK"}, nil
	}
	if err := tx.commit(time.Now()); err != nil {
		return result{}, err
	}
	if len(tx.operations) > 0 {
		s.dropResponse()
	}
	return result{tag: "COMMIT"}, nil
}

// isSettingOrControlCall reports whether a statement calls a control function of the instance
// or changes a setting. Such a statement needs no execution slot.
func isSettingOrControlCall(n *pgquery.Node) bool {
	if n.GetVariableSetStmt() != nil {
		return true
	}
	targets := n.GetSelectStmt().GetTargetList()
	if len(targets) != 1 {
		return false
	}
	c := targets[0].GetResTarget().GetVal().GetFuncCall()
	return c != nil && strings.HasPrefix(functionName(c), "marigoldgauge_")
}

// needsWriteLock reports whether a statement needs the write lock.
func needsWriteLock(n *pgquery.Node) bool {
	switch x := n.GetNode().(type) {
	case *pgquery.Node_InsertStmt, *pgquery.Node_UpdateStmt, *pgquery.Node_DeleteStmt, *pgquery.Node_CreateStmt:
		return true
	case *pgquery.Node_SelectStmt:
		return len(x.SelectStmt.LockingClause) > 0
	default:
		return false
	}
}

// acquireSlot waits for an execution slot and holds it for the service time.
func (s *session) acquireSlot() error {
	select {
	case <-s.cancelled:
	default:
	}
	if s.instance.slots != nil {
		select {
		case s.instance.slots <- struct{}{}:
		case <-s.cancelled:
			return newPgError("57014", "cancelled")
		case <-s.done:
			return newPgError("57P01", "the connection was closed")
		}
	}
	service := s.instance.group.options.ServiceTime + s.instance.currentFaults().ExtraServiceTime
	if err := s.wait(service); err != nil {
		s.releaseSlot()
		return err
	}
	return nil
}

// releaseSlot releases the execution slot.
func (s *session) releaseSlot() {
	if s.instance.slots != nil {
		<-s.instance.slots
	}
}

// wait sleeps for d and returns an error if the statement is cancelled or the
// connection is closed first.
func (s *session) wait(d time.Duration) error {
	if d <= 0 {
		return nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-s.cancelled:
		return newPgError("57014", "cancelled")
	case <-s.done:
		return newPgError("57P01", "the connection was closed")
	}
}

// sleep implements pg_sleep.
func (s *session) sleep(v Value) error {
	seconds, err := strconv.ParseFloat(v.String(), 64)
	if err != nil {
		return newPgError("22023", "not a number of seconds")
	}
	return s.wait(time.Duration(seconds * float64(time.Second)))
}
