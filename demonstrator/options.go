// Package demonstrator runs a small fleet on stand-ins under a bounded load of
// stock clients that roam, and measures what its users care about.
package demonstrator

import (
	"context"
	"time"

	"github.com/marigoldgauge/marigoldgauge/stager"
)

// Options change a demonstration.
type Options struct {
	// Deployment names the user whose profiles and latencies are used.
	Deployment string
	// For is how long the load runs.
	For time.Duration
	// Failover cuts a primary off midway, together with one proxy.
	Failover bool
	// Alone makes Failover cut the primary off without a proxy.
	Alone bool
	// Surge lets one organisation send five times its rate.
	Surge bool
	// Seed makes the choices of the callers the same in each run.
	Seed uint64
	// Offered is the part of its rate that an organisation sends; zero is half.
	Offered float64
	// Callers is the number of callers of one organisation; zero is four.
	Callers int
	// WriteShare is the part of the requests that write; zero is a tenth.
	WriteShare float64
	// Lag is the time by which replicas stay behind; zero is the deployment's.
	Lag time.Duration
	// Disturb does harm to the fleet while the load runs; nil does none.
	Disturb func(ctx context.Context, f *stager.Fleet) error
	// Stay keeps the fleet up afterwards and prints how to connect.
	Stay bool
}

const (
	// callersPerOrganisation is the number of callers of one organisation by default.
	callersPerOrganisation = 4
	// offered is the part of its rate that an organisation sends by default.
	offered = 0.5
	// surgeFactor is the multiple of its rate that a surging organisation sends.
	surgeFactor = 5
	// writeShare is the part of the requests that write by default.
	writeShare = 0.1
	// statementsPerVisit is the number of requests before a caller roams to another proxy.
	statementsPerVisit = 25
	// requestTimeout bounds one request of a caller.
	requestTimeout = 15 * time.Second
)

// fill sets what was left out.
func (o *Options) fill(d *stager.Deployment) {
	if o.Offered == 0 {
		o.Offered = offered
	}
	if o.Callers == 0 {
		o.Callers = callersPerOrganisation
	}
	if o.WriteShare == 0 {
		o.WriteShare = writeShare
	}
	if o.Lag != 0 {
		d.Lag = o.Lag
	}
}
