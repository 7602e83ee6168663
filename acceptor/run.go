package acceptor

import (
	"context"

	"github.com/marigoldgauge/marigoldgauge/coder"
	"github.com/marigoldgauge/marigoldgauge/pooler"
	"github.com/marigoldgauge/marigoldgauge/recorder"
	"github.com/marigoldgauge/marigoldgauge/tracker"
)

// runBatch runs the batch, ends the response and reports whether the connection
// stays open.
func (s *session) runBatch(ctx context.Context) bool {
	endsTransaction := s.endsTransaction
	r, err := s.exchange(ctx)
	writes := s.batch.Writes
	readOnly := s.readOnly
	s.clearBatch()
	s.skippingToSync = false
	if err != nil {
		return s.handleFailure(err, writes, endsTransaction)
	}
	s.status = r.TransactionStatus
	if s.status == 'I' {
		s.closeWork()
	}
	s.countResult(r, readOnly)
	if s.advanceRequired(r) {
		s.sendToken()
	}
	s.sendReady()
	return s.flush() == nil
}

// exchange runs the batch in the current unit of work, or in a new one.
func (s *session) exchange(ctx context.Context) (pooler.Result, error) {
	w := s.currentWork()
	if w == nil {
		if err := s.updateRoute(); err != nil {
			return pooler.Result{}, err
		}
		w = s.acceptor.Opener.Open(pooler.WorkSpec{
			Group:           s.route.Group,
			Organisation:    s.organisation,
			Key:             s.keyID,
			Generation:      s.generation,
			MinPosition:     s.required,
			PositionUnknown: s.requiredUnknown,
			ReadOnly:        s.readOnly,
			Timeout:         s.acceptor.Settings.QueueTimeout,
		})
	}
	if err := s.start(w); err != nil {
		return pooler.Result{}, err
	}
	s.acceptor.busy.Add(1)
	r, err := w.Exchange(ctx, &s.batch, s)
	s.acceptor.busy.Add(-1)
	s.mu.Lock()
	s.running = false
	s.mu.Unlock()
	return r, err
}

// start records that a batch runs, unless the key was withdrawn after the client sent it.
func (s *session) start(w Work) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closeReason != nil && s.closeReason.Code == coder.KeyWithdrawn {
		return s.closeReason
	}
	s.work, s.running, s.runningCommit = w, true, s.endsTransaction
	return nil
}

// handleFailure responds with an error to a batch without a full response.
//
// If the transaction of the batch was lost, it is in the failed state for the
// client until the client ends it.
func (s *session) handleFailure(err error, writes, endsTransaction bool) bool {
	s.closeWork()
	e := coder.From(err)
	switch {
	case e.Code == coder.WriteLost:
		s.required, s.requiredUnknown = tracker.Position{}, true
	case e.Outcome == coder.Unknown && writes:
		s.requiredUnknown = true
		s.sendToken()
	}
	if s.status != 'I' {
		s.status = 'E'
		if endsTransaction {
			s.status = 'I'
		}
	}
	s.countFailure(e)
	s.sendError(e, "ERROR")
	s.sendReady()
	return s.flush() == nil
}

// advanceRequired raises the required position of the session to that of a
// result of the primary, after a write or when the required position was
// unknown. It reports whether the session token changed.
func (s *session) advanceRequired(r pooler.Result) bool {
	if r.TransactionStatus != 'I' || !r.Primary || r.Position == (tracker.Position{}) {
		return false
	}
	resolved := s.requiredUnknown && !r.Failed
	if !r.WriteConfirmed && !resolved {
		return false
	}
	if s.required.Before(r.Position) {
		s.required = r.Position
	}
	s.requiredUnknown = false
	return true
}

// countResult counts a batch with a full response.
func (s *session) countResult(r pooler.Result, readOnly bool) {
	c := &s.acceptor.counters
	c.Batches.Add(1)
	switch {
	case r.WriteConfirmed:
		c.Writes.Add(1)
	case readOnly && r.Primary:
		c.PrimaryReads.Add(1)
	case readOnly:
		c.ReplicaReads.Add(1)
	}
}

// countFailure counts a failed batch and records an event.
func (s *session) countFailure(e *coder.Error) {
	c := &s.acceptor.counters
	if e.Outcome == coder.NotRun {
		c.RefusedRequests.Add(1)
	} else {
		c.UnknownOutcomes.Add(1)
	}
	s.acceptor.Recorder.Record(recorder.Event{
		At:      s.acceptor.Clock.Now(),
		Kind:    "answer-" + e.Outcome.String(),
		Subject: s.organisation,
		Reason:  e.Error(),
		Inputs:  []recorder.Input{{Name: "group", Value: s.route.Group}},
	})
}
