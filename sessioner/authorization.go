package sessioner

import (
	"context"
	"errors"
	"time"

	"github.com/marigoldgauge/marigoldgauge/authorizer"
	"github.com/marigoldgauge/marigoldgauge/cataloguer"
	"github.com/marigoldgauge/marigoldgauge/coder"
	"github.com/marigoldgauge/marigoldgauge/journaler"
	"github.com/marigoldgauge/marigoldgauge/modeller"
)

// withdrawnReason is the reason of responses to statements of a transaction whose key has gone.
const withdrawnReason = "the key was withdrawn; the transaction is rolled back"

// authorize resolves the client's route and organisation, and obtains the grant of the next unit
// of work.
func (s *session) authorize(id string) (cataloguer.Route, string, modeller.Response) {
	for {
		route, claim, refusal := s.resolve(id)
		if refusal.Result != modeller.Done {
			return route, "", refusal
		}
		s.obtainGrant(claim)
		if !s.grant.Ended() {
			return route, claim.Organisation, refusal
		}
		// A later configuration has come into force since.
	}
}

// obtainGrant replaces the grant of the session unless it has the same claim.
func (s *session) obtainGrant(c authorizer.Claim) {
	if !s.grant.Ended() && s.grant.Claim() == c {
		return
	}
	s.grant.Release()
	s.grant = s.server.Authorizer.Grant(c)
	s.grant.OnEnd(s.caller.Interrupt)
}

// refuseWithdrawn refuses a statement that arrives after the key has gone. A rollback is served,
// and so is a statement outside a transaction if the configuration permits it all the same.
func (s *session) refuseWithdrawn(st modeller.Statement) (a modeller.Response, refused bool) {
	switch {
	case !s.grant.Ended():
		return a, false
	case s.idle():
		_, _, a = s.authorize(st.ID)
		return a, a.Result != modeller.Done
	case st.Kind == modeller.Rollback:
		return a, false
	default:
		s.pending, s.failed, s.rollbackPending = nil, false, true
		return s.abortWithdrawn(st.ID), true
	}
}

// abortWithdrawn logs the end of a transaction whose key has gone and returns the response that
// reports it.
func (s *session) abortWithdrawn(id string) modeller.Response {
	s.server.Journal.Request("abort", id, journaler.Code(coder.KeyWithdrawn), journaler.Reason(withdrawnReason),
		journaler.F("database", s.database), journaler.Organisation(s.grant.Claim().Organisation),
		journaler.Version(s.server.Catalogue.Version()), journaler.F("caller", s.caller.RemoteAddress()))
	return modeller.NewErrorResponse(modeller.Aborted, coder.KeyWithdrawn.String()+" "+withdrawnReason)
}

// endWithdrawn ends the session between two statements if its key has gone, and reports whether it
// did. The client is told at once, and the transaction is rolled back. Outside a transaction the
// session goes on if the configuration permits it all the same.
func (s *session) endWithdrawn(ctx context.Context) bool {
	if !s.grant.Ended() {
		return false
	}
	var a modeller.Response
	if s.idle() {
		if _, _, a = s.authorize(""); a.Result == modeller.Done {
			return false
		}
	} else {
		a = s.abortWithdrawn("")
	}
	if s.caller.EndSession(a) != nil {
		return true
	}
	s.rollback(ctx)
	s.pending, s.failed = nil, false
	s.awaitClose()
	return true
}

// awaitClose waits until the client closes its ended session, and completes the response to a
// statement that it has sent meanwhile. A client may pause between two statements for as long as
// within a transaction.
func (s *session) awaitClose() {
	deadline := time.Now().Add(s.idleTimeout())
	for {
		_, err := s.caller.Receive(deadline)
		if err == nil {
			// The session ends whether or not the client receives it.
			_ = s.caller.CompleteEnd()
			return
		}
		if !errors.Is(err, ErrNoStatement) || !time.Now().Before(deadline) || s.server.closesIdle() {
			return
		}
	}
}
