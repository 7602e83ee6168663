package acceptor

import (
	"context"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/marigoldgauge/marigoldgauge/classifier"
	"github.com/marigoldgauge/marigoldgauge/coder"
	"github.com/marigoldgauge/marigoldgauge/pooler"
)

// handleMessage handles one message and reports whether the connection stays open.
func (s *session) handleMessage(ctx context.Context, m pgproto3.FrontendMessage) bool {
	switch m := m.(type) {
	case *pgproto3.Terminate:
		return false
	case *pgproto3.Query:
		return s.handleQuery(ctx, m)
	case *pgproto3.Sync:
		return s.handleSync(ctx)
	}
	if s.skippingToSync {
		return true
	}
	if err := s.handleExtended(ctx, m); err != nil {
		return s.rejectBatch(err)
	}
	return true
}

// rejectBatch responds with an error and skips the messages up to the next Sync.
func (s *session) rejectBatch(err error) bool {
	s.clearBatch()
	s.skippingToSync = true
	s.abortTransaction()
	s.sendError(coder.From(err), "ERROR")
	return s.flush() == nil
}

// abortTransaction rolls back an open transaction. For the client the transaction is
// in the failed state from then on.
func (s *session) abortTransaction() {
	if s.status == 'T' {
		s.closeWork()
		s.status = 'E'
	}
}

// respondError responds to a simple query or a Sync with an error.
func (s *session) respondError(err error) bool {
	s.sendError(coder.From(err), "ERROR")
	s.sendReady()
	return s.flush() == nil
}

// handleQuery handles a simple query.
func (s *session) handleQuery(ctx context.Context, m *pgproto3.Query) bool {
	class := s.acceptor.Classifier.Classify(m.String)
	if done, open := s.answerLocally(class); done {
		return open
	}
	raw, err := m.Encode(nil)
	if err != nil {
		return s.respondError(coder.New(coder.MessageUnsupported, "the query cannot be encoded"))
	}
	s.recordClass(class)
	s.batch.Steps = append(s.batch.Steps, pooler.Step{Kind: pooler.Query, Raw: raw})
	return s.runBatch(ctx)
}

// answerLocally answers a simple query that needs no endpoint. It reports whether the
// query is done with, and whether the connection stays open.
func (s *session) answerLocally(class classifier.Class) (done, open bool) {
	switch {
	case class.Kind == classifier.Refused:
		s.abortTransaction()
		return true, s.respondError(coder.New(coder.Unsupported, class.Reason))
	case class.Kind == classifier.Empty && s.currentWork() == nil:
		s.send(&pgproto3.EmptyQueryResponse{})
	case class.Kind == classifier.SetSession:
		if err := s.applyToken(class.Token); err != nil {
			s.abortTransaction()
			return true, s.respondError(err)
		}
		s.send(&pgproto3.CommandComplete{CommandTag: []byte("SET")})
	case s.transactionLost():
		return true, s.answerLostTransaction(class)
	default:
		return false, true
	}
	s.sendReady()
	return true, s.flush() == nil
}

// transactionLost reports whether the unit of work of the current transaction was
// lost, so that the transaction is open from the view of the client only.
func (s *session) transactionLost() bool {
	return s.status == 'E' && s.currentWork() == nil
}

// answerLostTransaction responds to a statement in a transaction whose unit of work
// was lost: only COMMIT and ROLLBACK are accepted, and both roll back.
func (s *session) answerLostTransaction(class classifier.Class) bool {
	if class.Kind != classifier.End {
		s.send(&pgproto3.ErrorResponse{Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: "25P02", Message: "current transaction is aborted, commands ignored until end of transaction block"})
	} else {
		s.status = 'I'
		s.send(&pgproto3.CommandComplete{CommandTag: []byte("ROLLBACK")})
	}
	s.sendReady()
	return s.flush() == nil
}

// currentWork returns the current unit of work, or nil.
func (s *session) currentWork() Work {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.work
}

// recordClass updates the flags of the batch by the class of one of its statements.
func (s *session) recordClass(class classifier.Class) {
	if len(s.batch.Steps) == 0 {
		s.readOnly = true
	}
	switch class.Kind {
	case classifier.Read:
		s.batch.CountsAgainstRate = true
	case classifier.Write:
		s.batch.CountsAgainstRate = true
		s.batch.Writes = true
		s.readOnly = false
	case classifier.BeginReadOnly, classifier.Empty:
	case classifier.End:
		s.batch.Writes = true
		s.endsTransaction = true
		s.readOnly = false
	default:
		s.readOnly = false
	}
}
