package sessioner

import (
	"context"

	"github.com/marigoldgauge/marigoldgauge/dispatcher"
	"github.com/marigoldgauge/marigoldgauge/phraser"
)

// handle answers one statement; an error ends the session after the answer.
func (s *session) handle(ctx context.Context, st phraser.Statement) (phraser.Answer, error) {
	a, err := s.answer(ctx, st)
	a.State = s.state()
	return a, err
}

// state returns the state that the caller is told.
func (s *session) state() phraser.State {
	switch {
	case s.ending:
		return phraser.Idle
	case s.broken:
		return phraser.Broken
	case s.pending != nil || s.running != nil:
		return phraser.InTransaction
	default:
		return phraser.Idle
	}
}

// answer answers one statement.
func (s *session) answer(ctx context.Context, st phraser.Statement) (phraser.Answer, error) {
	if s.broken {
		return s.answerBroken(st), nil
	}
	switch st.Kind {
	case phraser.Begin, phraser.BeginReadOnly:
		return s.open(st)
	case phraser.Commit:
		return s.commit(ctx, st)
	case phraser.Rollback:
		s.pending, s.ending = nil, true
		return phraser.Answer{}, nil
	case phraser.Set:
		s.values[st.Name] = st.Arguments
		return phraser.Answer{}, nil
	case phraser.Prepare:
		s.prepared[st.Name] = dispatcher.Definition{Writes: st.Writes, Shape: st.Arguments}
		return phraser.Answer{}, nil
	case phraser.Deallocate:
		delete(s.prepared, st.Name)
		return phraser.Answer{}, nil
	case phraser.Read, phraser.Write, phraser.Execute:
		return s.run(ctx, st)
	default:
		return phraser.Refuse(phraser.Misused, "the statement is not understood"), nil
	}
}

// answerBroken answers a statement in a transaction that failed.
func (s *session) answerBroken(st phraser.Statement) phraser.Answer {
	switch st.Kind {
	case phraser.Rollback:
		s.broken = false
		return phraser.Answer{}
	case phraser.Commit:
		s.broken = false
		return phraser.Refuse(phraser.Aborted, "the transaction failed before and was rolled back")
	default:
		return phraser.Refuse(phraser.Misused, "the transaction failed; end it first")
	}
}

// open begins a transaction; an instance hears of it with its first statement.
func (s *session) open(st phraser.Statement) (phraser.Answer, error) {
	if !s.idle() {
		return phraser.Refuse(phraser.Misused, "a transaction is open"), nil
	}
	a, err := s.begin(st.ID)
	if err != nil {
		return a, err
	}
	s.pending = &pendingTransaction{readOnly: st.Kind == phraser.BeginReadOnly}
	return phraser.Answer{}, nil
}

// commit ends a transaction.
func (s *session) commit(ctx context.Context, st phraser.Statement) (phraser.Answer, error) {
	if s.idle() {
		return phraser.Refuse(phraser.Misused, "no transaction is open"), nil
	}
	if a := s.start(ctx, st); a.Result != phraser.Done {
		s.broken = false
		return a, nil
	}
	u := s.next(st)
	a := s.running.Commit(ctx, u)
	if a.Result == phraser.Done && s.running.Wrote() {
		s.position = s.position.Max(a.Position)
	}
	s.running = nil
	return a, nil
}

// next returns the unit of a statement of the session.
func (s *session) next(st phraser.Statement) dispatcher.Unit {
	u := s.unit
	u.Statement = st
	u.Values = s.values
	u.Writes = st.Kind == phraser.Write
	if d, ok := s.prepared[st.Name]; ok && st.Kind == phraser.Execute {
		u.Definition, u.Writes = &d, d.Writes
	}
	return u
}

// start lets an instance begin the transaction that is pending.
func (s *session) start(ctx context.Context, st phraser.Statement) phraser.Answer {
	if s.running != nil {
		return phraser.Answer{}
	}
	u := s.next(st)
	u.Statement = phraser.Statement{ID: st.ID, Kind: phraser.Begin}
	u.Definition, u.Writes = nil, true
	if s.pending.readOnly {
		u.Statement.Kind, u.Writes = phraser.BeginReadOnly, false
	}
	u.Began = s.server.Clock.Now()
	s.unit.Began = u.Began
	s.pending = nil
	t, a := s.server.Runner.Open(ctx, u)
	if t == nil {
		s.broken = true
		return a
	}
	s.running = t
	return phraser.Answer{}
}

// run runs a read or a write.
func (s *session) run(ctx context.Context, st phraser.Statement) (phraser.Answer, error) {
	if _, ok := s.prepared[st.Name]; st.Kind == phraser.Execute && !ok {
		s.broken = !s.idle()
		s.abandon(ctx)
		s.pending = nil
		return phraser.Refuse(phraser.Unprepared, "no such prepared statement"), nil
	}
	if s.idle() {
		if a, err := s.begin(st.ID); err != nil {
			return a, err
		}
		u := s.next(st)
		a := s.server.Runner.Run(ctx, u)
		if a.Result == phraser.Done && u.Writes {
			s.position = s.position.Max(a.Position)
		}
		return a, nil
	}
	if a := s.start(ctx, st); a.Result != phraser.Done {
		return a, nil
	}
	a := s.running.Run(ctx, s.next(st))
	if a.State != phraser.InTransaction {
		s.running, s.broken = nil, true
	}
	return a, nil
}

// finish does what the caller need not wait for.
func (s *session) finish(ctx context.Context) {
	if s.ending {
		s.abandon(ctx)
		s.ending = false
	}
}
