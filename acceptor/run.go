package acceptor

import (
	"context"

	"github.com/marigoldgauge/marigoldgauge/coder"
	"github.com/marigoldgauge/marigoldgauge/explainer"
	"github.com/marigoldgauge/marigoldgauge/pooler"
	"github.com/marigoldgauge/marigoldgauge/tracker"
)

// run runs the batch and ends its answer.
func (s *session) run(ctx context.Context) bool {
	ending := s.ending
	r, err := s.exchange(ctx)
	writes := s.batch.Writes
	readOnly := s.readOnly
	s.clear()
	s.skipping = false
	if err != nil {
		return s.failed(err, writes, ending)
	}
	s.status = r.TransactionStatus
	if s.status == 'I' {
		s.closeWork()
	}
	s.count(r, readOnly)
	if s.advance(r) {
		s.report()
	}
	s.ready()
	return s.flush() == nil
}

// exchange runs the batch in the unit of work at hand, or in a new one.
func (s *session) exchange(ctx context.Context) (pooler.Result, error) {
	w := s.getWork()
	if w == nil {
		w = s.acceptor.Opener.Open(pooler.Ask{
			Group:        s.route.Group,
			Organisation: s.organisation,
			Required:     s.required,
			Unknown:      s.unknown,
			ReadOnly:     s.readOnly,
			Timeout:      s.acceptor.Settings.QueueTimeout,
		})
	}
	s.mu.Lock()
	s.work, s.running = w, true
	s.mu.Unlock()
	s.acceptor.busy.Add(1)
	r, err := w.Exchange(ctx, &s.batch, s)
	s.acceptor.busy.Add(-1)
	s.mu.Lock()
	s.running = false
	s.mu.Unlock()
	return r, err
}

// failed answers a batch that has no whole answer.
//
// A transaction that broke off stays open for the caller, as a failed one,
// until the caller ends it.
func (s *session) failed(err error, writes, ending bool) bool {
	s.closeWork()
	e := coder.From(err)
	switch {
	case e.Code == coder.WriteLost:
		s.required, s.unknown = tracker.Position{}, true
	case e.Outcome == coder.Unknown && writes:
		s.unknown = true
		s.report()
	}
	if s.status != 'I' {
		s.status = 'E'
		if ending {
			s.status = 'I'
		}
	}
	s.countFailure(e)
	s.sendError(e, "ERROR")
	s.ready()
	return s.flush() == nil
}

// advance makes the session see what it wrote, or on its first read what the
// primary held, and reports whether its token changed.
func (s *session) advance(r pooler.Result) bool {
	if r.TransactionStatus != 'I' || !r.Primary || r.Position == (tracker.Position{}) {
		return false
	}
	learned := s.unknown && !r.Failed
	if !r.Wrote && !learned {
		return false
	}
	if s.required.Before(r.Position) {
		s.required = r.Position
	}
	s.unknown = false
	return true
}

// count counts an answer.
func (s *session) count(r pooler.Result, readOnly bool) {
	c := &s.acceptor.counters
	c.Statements.Add(1)
	switch {
	case r.Wrote:
		c.Writes.Add(1)
	case readOnly && r.Primary:
		c.PrimaryReads.Add(1)
	case readOnly:
		c.ReplicaReads.Add(1)
	}
}

// countFailure counts a refusal or a failure and leaves an event.
func (s *session) countFailure(e *coder.Error) {
	c := &s.acceptor.counters
	if e.Outcome == coder.NotRun {
		c.Refused.Add(1)
	} else {
		c.Unknown.Add(1)
	}
	s.acceptor.Recorder.Record(explainer.Event{
		At:      s.acceptor.Clock.Now(),
		Kind:    "answer-" + e.Outcome.String(),
		Subject: s.organisation,
		Reason:  e.Error(),
		Inputs:  []explainer.Input{{Name: "group", Value: s.route.Group}},
	})
}
