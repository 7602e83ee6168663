package acceptor

import (
	"context"
	"slices"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/marigoldgauge/marigoldgauge/classifier"
	"github.com/marigoldgauge/marigoldgauge/coder"
	"github.com/marigoldgauge/marigoldgauge/pooler"
)

// handleExtended adds a message of the extended query protocol to the batch.
func (s *session) handleExtended(ctx context.Context, m pgproto3.FrontendMessage) error {
	switch m := m.(type) {
	case *pgproto3.Parse:
		return s.handleParse(m)
	case *pgproto3.Bind:
		return s.handleBind(m)
	case *pgproto3.Describe:
		return s.handleDescribe(m)
	case *pgproto3.Execute:
		return s.handleExecute(m)
	case *pgproto3.Close:
		return s.handleClose(m)
	case *pgproto3.Flush:
		return s.flushBatch(ctx)
	default:
		return coder.New(coder.MessageUnsupported, "the message is not supported")
	}
}

// maxBatchSteps is the maximum number of messages in a batch.
const maxBatchSteps = 100_000

// appendStep adds a message to the batch, with the definition of its statement.
func (s *session) appendStep(kind pooler.StepKind, st *preparedStatement, m pgproto3.FrontendMessage) error {
	if len(s.batch.Steps) >= maxBatchSteps {
		return coder.New(coder.MessageTooLarge, "the batch has too many messages")
	}
	raw, err := m.Encode(nil)
	if err != nil {
		return coder.New(coder.MessageUnsupported, "the message cannot be encoded")
	}
	if len(s.batch.Steps) == 0 {
		s.readOnly = true
	}
	step := pooler.Step{Kind: kind, Raw: raw}
	if st != nil {
		step.Statement = st.globalName
		s.appendDefinition(st)
	}
	s.batch.Steps = append(s.batch.Steps, step)
	return nil
}

// appendDefinition adds the definition of a statement to the batch, unless the batch
// contains it already.
func (s *session) appendDefinition(st *preparedStatement) {
	known := slices.ContainsFunc(s.batch.Prepared, func(d pooler.PreparedStatement) bool { return d.Name == st.globalName })
	if !known {
		s.batch.Prepared = append(s.batch.Prepared, pooler.PreparedStatement{Name: st.globalName, Raw: st.raw})
	}
}

// handleParse handles a Parse message.
func (s *session) handleParse(m *pgproto3.Parse) error {
	class := s.acceptor.Classifier.Classify(m.Query)
	if class.Kind == classifier.Refused {
		return coder.New(coder.Unsupported, class.Reason)
	}
	if class.Kind == classifier.SetSession {
		return coder.New(coder.Unsupported, "send SET of the session token as a simple query")
	}
	if s.transactionLost() && class.Kind != classifier.End {
		return coder.New(coder.OutcomeUnknown, "the transaction broke off; roll it back")
	}
	st, err := newPreparedStatement(m, class)
	if err != nil {
		return coder.New(coder.MessageUnsupported, "the statement cannot be encoded")
	}
	if s.statements == nil {
		s.statements, s.portals = map[string]*preparedStatement{}, map[string]*preparedStatement{}
	}
	name := m.Name
	m.Name = st.globalName
	if err := s.appendStep(pooler.Parse, st, m); err != nil {
		return err
	}
	s.statements[name] = st
	return nil
}

// findStatement returns a prepared statement of the client by name.
func (s *session) findStatement(name string) (*preparedStatement, error) {
	st := s.statements[name]
	if st == nil {
		return nil, coder.New(coder.StatementUnknown, "prepared statement \""+name+"\" does not exist")
	}
	return st, nil
}

// handleBind handles a Bind message.
func (s *session) handleBind(m *pgproto3.Bind) error {
	st, err := s.findStatement(m.PreparedStatement)
	if err != nil {
		return err
	}
	s.portals[m.DestinationPortal] = st
	m.PreparedStatement = st.globalName
	return s.appendStep(pooler.Bind, st, m)
}

// handleDescribe handles a Describe message.
func (s *session) handleDescribe(m *pgproto3.Describe) error {
	if m.ObjectType != 'S' {
		return s.appendStep(pooler.DescribePortal, nil, m)
	}
	st, err := s.findStatement(m.Name)
	if err != nil {
		return err
	}
	m.Name = st.globalName
	return s.appendStep(pooler.DescribeStatement, st, m)
}

// handleExecute handles an Execute message.
func (s *session) handleExecute(m *pgproto3.Execute) error {
	if st := s.portals[m.Portal]; st != nil {
		s.recordClass(st.class)
	}
	return s.appendStep(pooler.Execute, nil, m)
}

// handleClose handles a Close message.
func (s *session) handleClose(m *pgproto3.Close) error {
	if m.ObjectType != 'S' {
		delete(s.portals, m.Name)
		return s.appendStep(pooler.ClosePortal, nil, m)
	}
	delete(s.statements, m.Name)
	return s.appendStep(pooler.CloseStatement, nil, m)
}

// handleSync handles a Sync message: it runs the batch, or answers it locally
// where no instance is needed. It reports whether the connection stays open.
func (s *session) handleSync(ctx context.Context) bool {
	if s.skippingToSync || (len(s.batch.Steps) == 0 && s.currentWork() == nil) {
		s.skippingToSync = false
		s.closeFailedWork()
		s.clearBatch()
		s.sendReady()
		return s.flush() == nil
	}
	if s.closesOnly() {
		return s.answerCloses()
	}
	if s.transactionLost() {
		s.clearBatch()
		return s.answerLostTransaction(classifier.Class{Kind: classifier.End})
	}
	raw, err := (&pgproto3.Sync{}).Encode(nil)
	if err != nil {
		return false
	}
	s.batch.Steps = append(s.batch.Steps, pooler.Step{Kind: pooler.Sync, Raw: raw})
	return s.runBatch(ctx)
}

// closesOnly reports whether the batch only closes prepared statements. The
// proxy keeps these itself, so no instance is needed.
func (s *session) closesOnly() bool {
	for i := range s.batch.Steps {
		if s.batch.Steps[i].Kind != pooler.CloseStatement {
			return false
		}
	}
	return s.currentWork() == nil
}

// answerCloses responds to a batch that only closes prepared statements.
func (s *session) answerCloses() bool {
	for range s.batch.Steps {
		s.send(&pgproto3.CloseComplete{})
	}
	s.clearBatch()
	s.sendReady()
	return s.flush() == nil
}

// closeFailedWork closes a unit of work that a flushed batch left open after an error.
func (s *session) closeFailedWork() {
	if s.currentWork() != nil && s.status == 'I' {
		s.closeWork()
	}
}

// flushBatch runs the messages of the batch so far, for a Flush message.
func (s *session) flushBatch(ctx context.Context) error {
	if len(s.batch.Steps) == 0 {
		return s.flush()
	}
	raw, err := (&pgproto3.Flush{}).Encode(nil)
	if err != nil {
		return err
	}
	s.batch.Steps = append(s.batch.Steps, pooler.Step{Kind: pooler.Flush, Raw: raw})
	writes := s.batch.Writes
	r, err := s.exchange(ctx)
	s.clearBatch()
	if err != nil {
		s.closeWork()
		return err
	}
	s.batch.Writes = writes
	if r.Failed {
		s.skippingToSync = true
		s.closeWork()
		s.abortTransaction()
	}
	return s.flush()
}

// clearBatch empties the batch.
func (s *session) clearBatch() {
	clear(s.batch.Steps)
	s.batch.Steps = s.batch.Steps[:0]
	s.batch.Prepared = s.batch.Prepared[:0]
	s.batch.Writes, s.batch.CountsAgainstRate, s.endsTransaction = false, false, false
	if cap(s.batch.Steps) > maxRetainedSteps {
		s.batch.Steps, s.batch.Prepared = nil, nil
	}
}

// maxRetainedSteps is the largest batch capacity, in messages, that is retained for
// the next batch; it bounds the memory of idle clients.
const maxRetainedSteps = 16
