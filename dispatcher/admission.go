package dispatcher

import (
	"context"
	"time"

	"github.com/marigoldgauge/marigoldgauge/coder"
	"github.com/marigoldgauge/marigoldgauge/journaler"
	"github.com/marigoldgauge/marigoldgauge/modeller"
	"github.com/marigoldgauge/marigoldgauge/timekeeper"
)

// admit takes a token of the organisation's rate limit, if need be after a short
// wait. Without a token it returns the refusal and false.
func (d *Dispatcher) admit(ctx context.Context, u Unit) (modeller.Response, bool) {
	maxWait := u.Route.TargetLatency / admissionDivisor
	if u.Route.Priority > urgentPriority {
		maxWait = u.Route.TargetLatency / nonUrgentAdmissionDivisor
	}
	startedAt := d.Clock.Now()
	defer func() { u.trace.admission = d.Clock.Now().Sub(startedAt) }()
	ctx, release := u.Grant.Bind(ctx)
	defer release()
	d.Throttler.CountRequest(u.Organisation)
	wait, ok := d.Throttler.Admit(d.Clock.Now(), u.Organisation, 0)
	borrowWait := time.Duration(0)
	if !ok {
		wait, ok = d.Borrower.Borrow(ctx, u.Organisation, maxWait)
		borrowWait = wait
	}
	if !ok {
		wait, ok = d.Throttler.Admit(d.Clock.Now(), u.Organisation, maxWait)
	}
	if !ok {
		if borrowWait > 0 {
			wait = min(wait, borrowWait)
		}
		share, demand := d.Throttler.Share(u.Organisation)
		d.Throttler.CountRefused(u.Organisation)
		d.Journal.Request("refuse", u.Statement.ID, journaler.Code(coder.OverRate), journaler.Organisation(u.Organisation), journaler.F("route-kind", u.Route.Kind),
			journaler.F("share", share), journaler.F("demand", demand), journaler.F("retry-after", wait))
		a := refuse(modeller.Busy, coder.OverRate, "over the rate")
		a.RetryAfter = wait
		return a, false
	}
	d.Throttler.CountAdmitted(u.Organisation)
	if wait > 0 {
		timekeeper.Sleep(ctx, wait)
	}
	if u.Grant.Ended() {
		return d.refuseWithdrawn(d.Clock.Now(), u), false
	}
	return modeller.Response{}, true
}

const (
	// urgentPriority is the largest priority number of an urgent route; 0 is the most
	// urgent.
	urgentPriority = 1
	// admissionDivisor divides the target latency of a route to give the maximum time
	// for which an urgent operation waits for its token. The rest of the target is
	// enough to serve it in time.
	admissionDivisor = 2
	// nonUrgentAdmissionDivisor replaces admissionDivisor for other operations, so
	// that the urgent operations of an organisation at its limit get the tokens.
	nonUrgentAdmissionDivisor = 8
)
