package acceptor

import (
	"context"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/marigoldgauge/marigoldgauge/classifier"
	"github.com/marigoldgauge/marigoldgauge/coder"
	"github.com/marigoldgauge/marigoldgauge/pooler"
)

// handle serves one message and reports whether the connection goes on.
func (s *session) handle(ctx context.Context, m pgproto3.FrontendMessage) bool {
	switch m := m.(type) {
	case *pgproto3.Terminate:
		return false
	case *pgproto3.Query:
		return s.query(ctx, m)
	case *pgproto3.Sync:
		return s.sync(ctx)
	}
	if s.skipping {
		return true
	}
	if err := s.extended(ctx, m); err != nil {
		return s.skip(err)
	}
	return true
}

// skip answers an error and passes over the messages up to the next Sync.
func (s *session) skip(err error) bool {
	s.clear()
	s.skipping = true
	s.spoil()
	s.sendError(coder.From(err), "ERROR")
	return s.flush() == nil
}

// spoil rolls an open transaction back; for the caller it is a failed one.
func (s *session) spoil() {
	if s.status == 'T' {
		s.closeWork()
		s.status = 'E'
	}
}

// refuse answers an error to a simple query or a Sync.
func (s *session) refuse(err error) bool {
	s.sendError(coder.From(err), "ERROR")
	s.ready()
	return s.flush() == nil
}

// query serves a simple query.
func (s *session) query(ctx context.Context, m *pgproto3.Query) bool {
	class := s.acceptor.Classifier.Classify(m.String)
	if done, goesOn := s.shortcut(class); done {
		return goesOn
	}
	raw, err := m.Encode(nil)
	if err != nil {
		return s.refuse(coder.New(coder.MessageUnsupported, "the query cannot be encoded"))
	}
	s.note(class)
	s.batch.Steps = append(s.batch.Steps, pooler.Step{Kind: pooler.Query, Raw: raw})
	return s.run(ctx)
}

// shortcut serves what needs no endpoint.
func (s *session) shortcut(class classifier.Class) (done, goesOn bool) {
	switch {
	case class.Kind == classifier.Refused:
		s.spoil()
		return true, s.refuse(coder.New(coder.Unsupported, class.Reason))
	case class.Kind == classifier.Empty && s.getWork() == nil:
		s.send(&pgproto3.EmptyQueryResponse{})
	case class.Kind == classifier.SetSession:
		if err := s.takeToken(class.Token); err != nil {
			s.spoil()
			return true, s.refuse(err)
		}
		s.send(&pgproto3.CommandComplete{CommandTag: []byte("SET")})
	case s.lostTransaction():
		return true, s.rolledBack(class)
	default:
		return false, true
	}
	s.ready()
	return true, s.flush() == nil
}

// lostTransaction reports whether the transaction at hand is open for the
// caller only: its unit of work broke off.
func (s *session) lostTransaction() bool {
	return s.status == 'E' && s.getWork() == nil
}

// rolledBack answers a statement in a transaction that broke off: only its end is accepted.
func (s *session) rolledBack(class classifier.Class) bool {
	if class.Kind != classifier.End {
		s.send(&pgproto3.ErrorResponse{Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: "25P02", Message: "current transaction is aborted, commands ignored until end of transaction block"})
	} else {
		s.status = 'I'
		s.send(&pgproto3.CommandComplete{CommandTag: []byte("ROLLBACK")})
	}
	s.ready()
	return s.flush() == nil
}

// getWork returns the unit of work at hand, or nil.
func (s *session) getWork() Work {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.work
}

// note takes the class of a statement of the batch in.
func (s *session) note(class classifier.Class) {
	if len(s.batch.Steps) == 0 {
		s.readOnly = true
	}
	switch class.Kind {
	case classifier.Read:
		s.batch.Charged = true
	case classifier.Write:
		s.batch.Charged = true
		s.batch.Writes = true
		s.readOnly = false
	case classifier.BeginReadOnly, classifier.Empty:
	case classifier.End:
		s.batch.Writes = true
		s.ending = true
		s.readOnly = false
	default:
		s.readOnly = false
	}
}
