package sessioner

import (
	"context"
	"strings"

	"github.com/marigoldgauge/marigoldgauge/coder"
	"github.com/marigoldgauge/marigoldgauge/dispatcher"
	"github.com/marigoldgauge/marigoldgauge/modeller"
)

// handle runs one statement and returns its answer with the transaction state.
// After an error the session ends once the answer is sent.
func (s *session) handle(ctx context.Context, st modeller.Statement) (modeller.Response, error) {
	a, err := s.answer(ctx, st)
	a.State = s.state()
	return a, err
}

// state returns the transaction state that is reported to the client.
func (s *session) state() modeller.State {
	switch {
	case s.rollbackPending:
		return modeller.Idle
	case s.failed:
		return modeller.TransactionFailed
	case s.pending != nil || s.transaction != nil:
		return modeller.InTransaction
	default:
		return modeller.Idle
	}
}

// answer runs one statement and returns its answer. A statement that was not run because the key
// has gone is the last one of the session.
func (s *session) answer(ctx context.Context, st modeller.Statement) (modeller.Response, error) {
	if a, refused := s.refuseWithdrawn(st); refused {
		return a, errSessionEnded
	}
	a, err := s.run(ctx, st)
	if err == nil && s.grant.Ended() && (s.failed || a.Result == modeller.Aborted || a.Result == modeller.UnknownKey) {
		s.failed, err = false, errSessionEnded
	}
	return a, err
}

// run runs one statement and returns its answer.
func (s *session) run(ctx context.Context, st modeller.Statement) (modeller.Response, error) {
	if s.failed {
		return s.answerFailed(st), nil
	}
	switch st.Kind {
	case modeller.Begin, modeller.BeginReadOnly:
		return s.beginTransaction(st)
	case modeller.Commit:
		return s.commitTransaction(ctx, st)
	case modeller.Rollback:
		s.pending, s.rollbackPending = nil, true
		return modeller.Response{}, nil
	case modeller.Set:
		return s.setValue(st), nil
	case modeller.Prepare:
		return s.prepare(st), nil
	case modeller.Deallocate:
		s.deallocate(st)
		return modeller.Response{}, nil
	case modeller.Read, modeller.Write, modeller.Execute:
		return s.runStatement(ctx, st)
	default:
		return modeller.NewErrorResponse(modeller.ProtocolError, "the statement is not understood"), nil
	}
}

// setValue sets a session value.
func (s *session) setValue(st modeller.Statement) modeller.Response {
	former, known := s.values[st.Name]
	if a := s.retain(st, former, known); a.Result != modeller.Done {
		return a
	}
	// The texts are parts of the client's message, which would be kept with them.
	s.values[strings.Clone(st.Name)] = strings.Clone(st.Arguments)
	return modeller.Response{}
}

// prepare prepares a statement, in place of a former one with its name.
func (s *session) prepare(st modeller.Statement) modeller.Response {
	former, known := s.prepared[st.Name]
	if a := s.retain(st, former.Text, known); a.Result != modeller.Done {
		return a
	}
	s.prepared[strings.Clone(st.Name)] = dispatcher.NewPreparedStatement(st.Writes, strings.Clone(st.Arguments))
	return modeller.Response{}
}

// deallocate removes a prepared statement.
func (s *session) deallocate(st modeller.Statement) {
	if former, known := s.prepared[st.Name]; known {
		s.retained, _ = s.server.retained.resize(s.retained, -int64(len(st.Name)+len(former.Text)+entryBytes))
		delete(s.prepared, st.Name)
	}
}

// retain makes room for a named text in place of a former one, or returns a refusal.
func (s *session) retain(st modeller.Statement, former string, known bool) modeller.Response {
	difference := int64(len(st.Arguments) - len(former))
	if !known {
		difference += int64(len(st.Name) + entryBytes)
	}
	var ok bool
	if s.retained, ok = s.server.retained.resize(s.retained, difference); !ok {
		return s.refuse(st.ID, modeller.Busy, coder.MessageTooLarge, "the sessions retain too many values and definitions")
	}
	return modeller.Response{}
}

// answerFailed answers a statement in a failed transaction.
func (s *session) answerFailed(st modeller.Statement) modeller.Response {
	switch st.Kind {
	case modeller.Rollback:
		s.failed = false
		return modeller.Response{}
	case modeller.Commit:
		s.failed = false
		return modeller.NewErrorResponse(modeller.Aborted, "the transaction failed before and was rolled back")
	default:
		return modeller.NewErrorResponse(modeller.ProtocolError, "the transaction failed; end it first")
	}
}

// beginTransaction records the begin of a transaction, which is sent to an instance together
// with the first statement.
func (s *session) beginTransaction(st modeller.Statement) (modeller.Response, error) {
	if !s.idle() {
		return modeller.NewErrorResponse(modeller.ProtocolError, "a transaction is open"), nil
	}
	a, err := s.prepareUnit(st.ID)
	if err != nil {
		return a, err
	}
	s.pending = &pendingTransaction{readOnly: st.Kind == modeller.BeginReadOnly}
	return modeller.Response{}, nil
}

// commitTransaction commits the transaction.
func (s *session) commitTransaction(ctx context.Context, st modeller.Statement) (modeller.Response, error) {
	if s.idle() {
		return modeller.NewErrorResponse(modeller.ProtocolError, "no transaction is open"), nil
	}
	if a := s.startTransaction(ctx, st); a.Result != modeller.Done {
		s.failed = false
		return a, nil
	}
	u := s.newUnit(st)
	a := s.transaction.Commit(ctx, u)
	if a.Result == modeller.Done && s.transaction.HasWritten() {
		s.position = s.position.Max(a.Position)
	}
	s.transaction = nil
	return a, nil
}

// newUnit returns the unit of work for a statement of the session.
func (s *session) newUnit(st modeller.Statement) dispatcher.Unit {
	u := s.unit
	u.Statement = st
	u.SessionValues = s.values
	u.Writes = st.Kind == modeller.Write
	if d, ok := s.prepared[st.Name]; ok && st.Kind == modeller.Execute {
		u.Prepared, u.Writes = &d, d.Writes
	}
	return u
}

// startTransaction begins the pending transaction on an instance.
func (s *session) startTransaction(ctx context.Context, st modeller.Statement) modeller.Response {
	if s.transaction != nil {
		return modeller.Response{}
	}
	u := s.newUnit(st)
	u.Statement = modeller.Statement{ID: st.ID, Kind: modeller.Begin}
	u.Prepared, u.Writes = nil, true
	if s.pending.readOnly {
		u.Statement.Kind, u.Writes = modeller.BeginReadOnly, false
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
	return modeller.Response{}
}

// runStatement runs a read, a write or a prepared statement.
func (s *session) runStatement(ctx context.Context, st modeller.Statement) (modeller.Response, error) {
	if _, ok := s.prepared[st.Name]; st.Kind == modeller.Execute && !ok {
		s.failed = !s.idle()
		s.rollback(ctx)
		s.pending = nil
		return modeller.NewErrorResponse(modeller.Unprepared, "no such prepared statement"), nil
	}
	if s.idle() {
		if a, err := s.prepareUnit(st.ID); err != nil {
			return a, err
		}
		u := s.newUnit(st)
		a := s.server.Runner.Run(ctx, u)
		if a.Result == modeller.Done && u.Writes {
			s.position = s.position.Max(a.Position)
		}
		return a, nil
	}
	if a := s.startTransaction(ctx, st); a.Result != modeller.Done {
		return a, nil
	}
	a := s.transaction.Run(ctx, s.newUnit(st))
	if a.State != modeller.InTransaction {
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
