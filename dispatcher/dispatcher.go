// Package dispatcher runs the statements of callers on database instances.
//
// It selects the instance that may run a statement and is expected to serve it
// soonest, retries statements that certainly did not run, and reports exactly what is
// known of the others. A write is sent once; it is sent again only if the instance
// responds that it did not run.
package dispatcher

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/marigoldgauge/marigoldgauge/cataloguer"
	"github.com/marigoldgauge/marigoldgauge/coder"
	"github.com/marigoldgauge/marigoldgauge/connector"
	"github.com/marigoldgauge/marigoldgauge/journaler"
	"github.com/marigoldgauge/marigoldgauge/modeller"
	"github.com/marigoldgauge/marigoldgauge/observer"
	"github.com/marigoldgauge/marigoldgauge/tracker"
)

// Dispatcher runs statements on instances. It is safe for concurrent use.
type Dispatcher struct {
	Dependencies

	mu sync.Mutex
	// targets holds all instances, and pools the connections to those in use, by id.
	targets map[string]connector.Target
	pools   map[string]*connector.Pool
	// departedAt holds when the platform stopped listing instances that did not announce their end.
	// They are still asked for their status, but get no other statements.
	departedAt map[string]time.Time
	groups     cataloguer.Index[cataloguer.Group]
	rounds     map[string]*statusRound
	// roundStartedAt is the start time of the last status round of each group.
	roundStartedAt map[string]time.Time
	// primaryUnknownSince is the time since which no primary of a group is known.
	primaryUnknownSince map[string]time.Time

	backgroundRounds errgroup.Group
}

// New returns a Dispatcher without instances.
func New(p Dependencies) *Dispatcher {
	return &Dispatcher{Dependencies: p, targets: map[string]connector.Target{}, pools: map[string]*connector.Pool{}, departedAt: map[string]time.Time{}, rounds: map[string]*statusRound{}, roundStartedAt: map[string]time.Time{}, primaryUnknownSince: map[string]time.Time{}}
}

// refuse returns a response without rows, with the code and the reason in its detail.
func refuse(r modeller.Result, code coder.Code, reason string) modeller.Response {
	return modeller.NewErrorResponse(r, code.String()+" "+reason)
}

// InDoubtResponse returns a response that says that the outcome of the statement is unknown.
func InDoubtResponse(reason string) modeller.Response {
	return refuse(modeller.InDoubt, coder.OutcomeUnknown, reason)
}

// Run runs a single statement outside a transaction.
func (d *Dispatcher) Run(ctx context.Context, u Unit) modeller.Response {
	u.trace = &trace{}
	a := d.admitAndRun(ctx, u)
	d.recordOutcome(u, a)
	return a
}

// admitAndRun admits a single statement and runs it, locally or through a VM that
// holds connections.
func (d *Dispatcher) admitAndRun(ctx context.Context, u Unit) modeller.Response {
	if a, ok := d.admit(ctx, u); !ok {
		return a
	}
	if d.Remote != nil {
		if a, ok := d.Remote.Run(ctx, u); ok {
			return a
		}
	}
	return d.runAdmitted(ctx, u)
}

// RunAdmitted runs a single statement that another VM has admitted.
func (d *Dispatcher) RunAdmitted(ctx context.Context, u Unit) modeller.Response {
	u.trace = &trace{}
	return d.runAdmitted(ctx, u)
}

// runAdmitted runs a single statement on an instance.
func (d *Dispatcher) runAdmitted(ctx context.Context, u Unit) modeller.Response {
	ctx, cancel := context.WithTimeout(ctx, u.Route.Timeout)
	defer cancel()
	return d.runWithRetries(ctx, u, func(i observer.Instance, after tracker.Position) (modeller.Response, bool) {
		return d.attempt(ctx, u, i, after)
	})
}

// recordOutcome measures a unit, and logs one that exceeded the target latency of
// its route.
func (d *Dispatcher) recordOutcome(u Unit, a modeller.Response) {
	took := d.Clock.Now().Sub(u.StartedAt)
	d.Measurer.Request(u.Route.Kind.String(), a.Result.String(), took)
	for part, t := range u.trace.parts() {
		d.Measurer.Part(part, t)
	}
	if took <= u.Route.TargetLatency {
		return
	}
	d.Journal.Request("slow", u.Statement.ID, append([]journaler.Field{journaler.F("took", took), journaler.Group(u.Route.Group), journaler.F("route-kind", u.Route.Kind),
		journaler.F("writes", u.Writes), journaler.Organisation(u.Organisation)}, u.trace.fields()...)...)
}
