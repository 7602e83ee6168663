package sessioner

import (
	"context"

	"github.com/marigoldgauge/marigoldgauge/dispatcher"
	"github.com/marigoldgauge/marigoldgauge/phraser"
)

// handle runs one statement and returns its answer with the transaction state.
// After an error the session ends once the answer is sent.
func (s *session) handle(ctx context.Context, st phraser.Statement) (phraser.Answer, error) {
	a, err := s.answer(ctx, st)
	a.State = s.state()
	return a, err
}

// state returns the transaction state that is reported to the client.
func (s *session) state() phraser.State {
	switch {
	case s.rollbackPending:
		return phraser.Idle
	case s.failed:
		return phraser.Broken
	case s.pending != nil || s.transaction != nil:
		return phraser.InTransaction
	default:
		return phraser.Idle
	}
}

// answer runs one statement and returns its answer.
func (s *session) answer(ctx context.Context, st phraser.Statement) (phraser.Answer, error) {
	if s.failed {
		return s.answerFailed(st), nil
	}
	switch st.Kind {
	case phraser.Begin, phraser.BeginReadOnly:
		return s.beginTransaction(st)
	case phraser.Commit:
		return s.commitTransaction(ctx, st)
	case phraser.Rollback:
		s.pending, s.rollbackPending = nil, true
		return phraser.Answer{}, nil
	case phraser.Set:
		s.values[st.Name] = st.Arguments
		return phraser.Answer{}, nil
	case phraser.Prepare:
		s.prepared[st.Name] = dispatcher.PreparedStatement{Writes: st.Writes, Text: st.Arguments}
		return phraser.Answer{}, nil
	case phraser.Deallocate:
		delete(s.prepared, st.Name)
		return phraser.Answer{}, nil
	case phraser.Read, phraser.Write, phraser.Execute:
		return s.runStatement(ctx, st)
	default:
		return phraser.Refuse(phraser.Misused, "the statement is not understood"), nil
	}
}

// answerFailed answers a statement in a failed transaction.
func (s *session) answerFailed(st phraser.Statement) phraser.Answer {
	switch st.Kind {
	case phraser.Rollback:
		s.failed = false
		return phraser.Answer{}
	case phraser.Commit:
		s.failed = false
		return phraser.Refuse(phraser.Aborted, "the transaction failed before and was rolled back")
	default:
		return phraser.Refuse(phraser.Misused, "the transaction failed; end it first")
	}
}

// beginTransaction records the begin of a transaction, which is sent to an instance together
// with the first statement.
func (s *session) beginTransaction(st phraser.Statement) (phraser.Answer, error) {
	if !s.idle() {
		return phraser.Refuse(phraser.Misused, "a transaction is open"), nil
	}
	a, err := s.prepareUnit(st.ID)
	if err != nil {
		return a, err
	}
	s.pending = &pendingTransaction{readOnly: st.Kind == phraser.BeginReadOnly}
	return phraser.Answer{}, nil
}

// commitTransaction commits the transaction.
func (s *session) commitTransaction(ctx context.Context, st phraser.Statement) (phraser.Answer, error) {
	if s.idle() {
		return phraser.Refuse(phraser.Misused, "no transaction is open"), nil
	}
	if a := s.startTransaction(ctx, st); a.Result != phraser.Done {
		s.failed = false
		return a, nil
	}
	u := s.newUnit(st)
	a := s.transaction.Commit(ctx, u)
	if a.Result == phraser.Done && s.transaction.HasWritten() {
		s.position = s.position.Max(a.Position)
	}
	s.transaction = nil
	return a, nil
}

// newUnit returns the unit of work for a statement of the session.
func (s *session) newUnit(st phraser.Statement) dispatcher.Unit {
	u := s.unit
	u.Statement = st
	u.SessionValues = s.values
	u.Writes = st.Kind == phraser.Write
	if d, ok := s.prepared[st.Name]; ok && st.Kind == phraser.Execute {
		u.Prepared, u.Writes = &d, d.Writes
	}
	return u
}

// startTransaction begins the pending transaction on an instance.
func (s *session) startTransaction(ctx context.Context, st phraser.Statement) phraser.Answer {
	if s.transaction != nil {
		return phraser.Answer{}
	}
	u := s.newUnit(st)
	u.Statement = phraser.Statement{ID: st.ID, Kind: phraser.Begin}
	u.Prepared, u.Writes = nil, true
	if s.pending.readOnly {
		u.Statement.Kind, u.Writes = phraser.BeginReadOnly, false
	}
	u.StartedAt = s.server.Clock.Now()
	s.unit.StartedAt = u.StartedAt
	s.pending = nil
	t, a := s.server.Runner.Open(ctx, u)
	if t == nil {
		s.failed = true
		return a
	}
	s.transaction = t
	return phraser.Answer{}
}

// runStatement runs a read, a write or a prepared statement.
func (s *session) runStatement(ctx context.Context, st phraser.Statement) (phraser.Answer, error) {
	if _, ok := s.prepared[st.Name]; st.Kind == phraser.Execute && !ok {
		s.failed = !s.idle()
		s.rollback(ctx)
		s.pending = nil
		return phraser.Refuse(phraser.Unprepared, "no such prepared statement"), nil
	}
	if s.idle() {
		if a, err := s.prepareUnit(st.ID); err != nil {
			return a, err
		}
		u := s.newUnit(st)
		a := s.server.Runner.Run(ctx, u)
		if a.Result == phraser.Done && u.Writes {
			s.position = s.position.Max(a.Position)
		}
		return a, nil
	}
	if a := s.startTransaction(ctx, st); a.Result != phraser.Done {
		return a, nil
	}
	a := s.transaction.Run(ctx, s.newUnit(st))
	if a.State != phraser.InTransaction {
		s.transaction, s.failed = nil, true
	}
	return a, nil
}

// finishRollback sends a pending rollback to the instance, after the client has been
// answered.
func (s *session) finishRollback(ctx context.Context) {
	if s.rollbackPending {
		s.rollback(ctx)
		s.rollbackPending = false
	}
}
