package acceptor

import (
	"context"
	"slices"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/marigoldgauge/marigoldgauge/classifier"
	"github.com/marigoldgauge/marigoldgauge/coder"
	"github.com/marigoldgauge/marigoldgauge/pooler"
)

// extended takes a message of the extended protocol into the batch.
func (s *session) extended(ctx context.Context, m pgproto3.FrontendMessage) error {
	switch m := m.(type) {
	case *pgproto3.Parse:
		return s.parse(m)
	case *pgproto3.Bind:
		return s.bind(m)
	case *pgproto3.Describe:
		return s.describe(m)
	case *pgproto3.Execute:
		return s.execute(m)
	case *pgproto3.Close:
		return s.close(m)
	case *pgproto3.Flush:
		return s.flushBatch(ctx)
	default:
		return coder.New(coder.MessageUnsupported, "the message is not supported")
	}
}

// maxSteps bounds the messages of one batch.
const maxSteps = 100_000

// step adds a message to the batch.
func (s *session) step(kind pooler.StepKind, st *statement, m pgproto3.FrontendMessage) error {
	if len(s.batch.Steps) >= maxSteps {
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
		step.Statement = st.global
		s.define(st)
	}
	s.batch.Steps = append(s.batch.Steps, step)
	return nil
}

// define adds the definition of a statement to the batch.
func (s *session) define(st *statement) {
	known := slices.ContainsFunc(s.batch.Definitions, func(d pooler.Definition) bool { return d.Statement == st.global })
	if !known {
		s.batch.Definitions = append(s.batch.Definitions, pooler.Definition{Statement: st.global, Raw: st.raw})
	}
}

// parse takes a Parse message in.
func (s *session) parse(m *pgproto3.Parse) error {
	class := s.acceptor.Classifier.Classify(m.Query)
	if class.Kind == classifier.Refused {
		return coder.New(coder.Unsupported, class.Reason)
	}
	if class.Kind == classifier.SetSession {
		return coder.New(coder.Unsupported, "send SET of the session token as a simple query")
	}
	if s.lostTransaction() && class.Kind != classifier.End {
		return coder.New(coder.OutcomeUnknown, "the transaction broke off; roll it back")
	}
	st, err := newStatement(m, class)
	if err != nil {
		return coder.New(coder.MessageUnsupported, "the statement cannot be encoded")
	}
	if s.statements == nil {
		s.statements, s.portals = map[string]*statement{}, map[string]*statement{}
	}
	name := m.Name
	m.Name = st.global
	if err := s.step(pooler.Parse, st, m); err != nil {
		return err
	}
	s.statements[name] = st
	return nil
}

// lookup returns a prepared statement of the caller.
func (s *session) lookup(name string) (*statement, error) {
	st := s.statements[name]
	if st == nil {
		return nil, coder.New(coder.StatementUnknown, "prepared statement \""+name+"\" does not exist")
	}
	return st, nil
}

// bind takes a Bind message in.
func (s *session) bind(m *pgproto3.Bind) error {
	st, err := s.lookup(m.PreparedStatement)
	if err != nil {
		return err
	}
	s.portals[m.DestinationPortal] = st
	m.PreparedStatement = st.global
	return s.step(pooler.Bind, st, m)
}

// describe takes a Describe message in.
func (s *session) describe(m *pgproto3.Describe) error {
	if m.ObjectType != 'S' {
		return s.step(pooler.DescribePortal, nil, m)
	}
	st, err := s.lookup(m.Name)
	if err != nil {
		return err
	}
	m.Name = st.global
	return s.step(pooler.DescribeStatement, st, m)
}

// execute takes an Execute message in.
func (s *session) execute(m *pgproto3.Execute) error {
	if st := s.portals[m.Portal]; st != nil {
		s.note(st.class)
	}
	return s.step(pooler.Execute, nil, m)
}

// close takes a Close message in.
func (s *session) close(m *pgproto3.Close) error {
	if m.ObjectType != 'S' {
		delete(s.portals, m.Name)
		return s.step(pooler.ClosePortal, nil, m)
	}
	delete(s.statements, m.Name)
	return s.step(pooler.CloseStatement, nil, m)
}

// sync ends a batch.
func (s *session) sync(ctx context.Context) bool {
	if s.skipping || (len(s.batch.Steps) == 0 && s.getWork() == nil) {
		s.skipping = false
		s.abandonFailed()
		s.clear()
		s.ready()
		return s.flush() == nil
	}
	if s.closesOnly() {
		return s.closeLocally()
	}
	if s.lostTransaction() {
		s.clear()
		return s.rolledBack(classifier.Class{Kind: classifier.End})
	}
	raw, err := (&pgproto3.Sync{}).Encode(nil)
	if err != nil {
		return false
	}
	s.batch.Steps = append(s.batch.Steps, pooler.Step{Kind: pooler.Sync, Raw: raw})
	return s.run(ctx)
}

// closesOnly reports whether the batch does nothing but close prepared
// statements, which are the proxy's own.
func (s *session) closesOnly() bool {
	for i := range s.batch.Steps {
		if s.batch.Steps[i].Kind != pooler.CloseStatement {
			return false
		}
	}
	return s.getWork() == nil
}

// closeLocally answers a batch that closes prepared statements.
func (s *session) closeLocally() bool {
	for range s.batch.Steps {
		s.send(&pgproto3.CloseComplete{})
	}
	s.clear()
	s.ready()
	return s.flush() == nil
}

// abandonFailed gives up a unit of work that a flushed batch left open after an error.
func (s *session) abandonFailed() {
	if s.getWork() != nil && s.status == 'I' {
		s.closeWork()
	}
}

// flushBatch runs what has gathered before the end of the batch.
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
	s.clear()
	if err != nil {
		s.closeWork()
		return err
	}
	s.batch.Writes = writes
	if r.Failed {
		s.skipping = true
		s.closeWork()
		s.spoil()
	}
	return s.flush()
}

// clear empties the batch.
func (s *session) clear() {
	clear(s.batch.Steps)
	s.batch.Steps = s.batch.Steps[:0]
	s.batch.Definitions = s.batch.Definitions[:0]
	s.batch.Writes, s.batch.Charged, s.ending = false, false, false
	if cap(s.batch.Steps) > keptSteps {
		s.batch.Steps, s.batch.Definitions = nil, nil
	}
}

// keptSteps is the largest batch whose memory an idle caller keeps.
const keptSteps = 16
