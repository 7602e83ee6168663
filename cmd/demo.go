package cmd

import (
	"time"

	"github.com/marigoldgauge/marigoldgauge/demonstrator"
)

// demoCmd runs a small fleet against simulated endpoints.
type demoCmd struct {
	Deployment string        `help:"Deployment whose profiles and latencies are used: campusweg or lepidlo." enum:"campusweg,lepidlo" default:"campusweg"`
	For        time.Duration `help:"How long the load runs." default:"20s"`
	Failover   bool          `help:"Disconnect a primary and one proxy from the rest midway through the run."`
	Surge      bool          `help:"Make one organisation send five times its rate."`
	Seed       uint64        `help:"Seed of the random choices of callers." default:"1"`
	Stay       bool          `help:"Keep the fleet running afterwards and print how to connect to it."`
}

// Run runs the demonstration.
func (c *demoCmd) Run(s *session) error {
	figures, err := demonstrator.Run(s.context, s.out, demonstrator.Options{
		Deployment: c.Deployment, For: c.For, Failover: c.Failover, Surge: c.Surge, Stay: c.Stay, Seed: c.Seed,
	})
	if err != nil {
		return err
	}
	if figures.InvariantViolated() {
		return errInvariantViolated
	}
	return nil
}
