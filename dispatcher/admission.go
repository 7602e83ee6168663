package dispatcher

import (
	"context"
	"time"

	"github.com/marigoldgauge/marigoldgauge/clocker"
	"github.com/marigoldgauge/marigoldgauge/coder"
	"github.com/marigoldgauge/marigoldgauge/journaler"
	"github.com/marigoldgauge/marigoldgauge/phraser"
)

// admit takes a token of the organisation's rate, waiting a moment for it if need be.
func (d *Dispatcher) admit(ctx context.Context, u Unit) (phraser.Answer, bool) {
	longest := u.Route.Target / admissionDivisor
	if u.Route.Priority > urgentPriority {
		longest = u.Route.Target / nonUrgentAdmissionDivisor
	}
	began := d.Clock.Now()
	defer func() { u.trace.admission = d.Clock.Now().Sub(began) }()
	d.Sharer.Ask(u.Organisation)
	wait, ok := d.Sharer.Admit(d.Clock.Now(), u.Organisation, 0)
	lent := time.Duration(0)
	if !ok {
		wait, ok = d.Borrower.Borrow(ctx, u.Organisation, longest)
		lent = wait
	}
	if !ok {
		wait, ok = d.Sharer.Admit(d.Clock.Now(), u.Organisation, longest)
	}
	if !ok {
		if lent > 0 {
			wait = min(wait, lent)
		}
		share, demand := d.Sharer.Share(u.Organisation)
		d.Sharer.Refused(u.Organisation)
		d.Journal.Request("refuse", u.Statement.ID, journaler.Code(coder.OverRate), journaler.Organisation(u.Organisation), journaler.F("route-kind", u.Route.Kind),
			journaler.F("share", share), journaler.F("demand", demand), journaler.F("retry-after", wait))
		a := refuse(phraser.Busy, coder.OverRate, "over the rate")
		a.RetryAfter = wait
		return a, false
	}
	d.Sharer.Admitted(u.Organisation)
	if wait > 0 {
		clocker.Sleep(ctx, wait)
	}
	return phraser.Answer{}, true
}

const (
	// urgentPriority is the largest priority number of what is urgent; 0 goes first.
	urgentPriority = 1
	// admissionDivisor is the part of a route's target for which an urgent operation
	// waits for its token; what remains is enough to be served in time.
	admissionDivisor = 2
	// nonUrgentAdmissionDivisor is that part for all others, so that of an organisation at
	// its limit the urgent operations find the tokens.
	nonUrgentAdmissionDivisor = 8
)
