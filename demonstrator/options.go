// Package demonstrator runs a small simulated fleet under a bounded load of
// pgx clients that move between proxies, and measures availability, staleness,
// fairness and failover.
package demonstrator

import (
	"context"
	"time"

	"github.com/marigoldgauge/marigoldgauge/simulator"
)

// Options configure a demonstration.
type Options struct {
	// Deployment is the name of the deployment whose organisations and latencies are used.
	Deployment string
	// For is the duration of the load.
	For time.Duration
	// Failover partitions a primary from the network midway, together with one proxy.
	Failover bool
	// PrimaryOnly makes Failover partition the primary without a proxy.
	PrimaryOnly bool
	// Surge makes one organisation send five times its rate limit.
	Surge bool
	// Seed seeds the random choices of the clients, so that runs are reproducible.
	Seed uint64
	// LoadFraction is the fraction of its rate limit that each organisation sends;
	// zero means half.
	LoadFraction float64
	// Clients is the number of clients per organisation; zero means four.
	Clients int
	// WriteFraction is the fraction of requests that are writes; zero means a tenth.
	WriteFraction float64
	// Lag is the replication lag; zero means that of the deployment.
	Lag time.Duration
	// InjectFaults injects faults into the fleet while the load runs; nil injects none.
	InjectFaults func(ctx context.Context, f *simulator.Fleet) error
	// Stay keeps the fleet running after the load and prints how to connect.
	Stay bool
}

const (
	// defaultClients is the default number of clients per organisation.
	defaultClients = 4
	// defaultLoadFraction is the default fraction of its rate limit that an organisation sends.
	defaultLoadFraction = 0.5
	// surgeFactor is the multiple of its rate limit that a surging organisation sends.
	surgeFactor = 5
	// defaultWriteFraction is the default fraction of requests that are writes.
	defaultWriteFraction = 0.1
	// requestsPerConnection is the number of requests after which a client reconnects to
	// a random proxy.
	requestsPerConnection = 25
	// requestTimeout is the timeout of a request, and of a connection attempt.
	requestTimeout = 15 * time.Second
)

// setDefaults sets the defaults of unset options.
func (o *Options) setDefaults(d *simulator.Deployment) {
	if o.LoadFraction == 0 {
		o.LoadFraction = defaultLoadFraction
	}
	if o.Clients == 0 {
		o.Clients = defaultClients
	}
	if o.WriteFraction == 0 {
		o.WriteFraction = defaultWriteFraction
	}
	if o.Lag != 0 {
		d.Lag = o.Lag
	}
}
