package cmd

import (
	"time"

	"github.com/marigoldgauge/marigoldgauge/demonstrator"
)

// demoCmd runs a small fleet on stand-ins.
type demoCmd struct {
	Deployment string        `help:"Whose profiles and latencies: campusweg or lepidlo." enum:"campusweg,lepidlo" default:"campusweg"`
	For        time.Duration `help:"How long the load runs." default:"20s"`
	Failover   bool          `help:"Cut a primary off midway, together with one proxy."`
	Surge      bool          `help:"Let one organisation send five times its rate."`
	Seed       uint64        `help:"Seed of the callers' choices." default:"1"`
	Stay       bool          `help:"Keep the fleet up afterwards and print how to connect."`
}

// Run runs the demonstration.
func (c *demoCmd) Run(s *session) error {
	figures, err := demonstrator.Run(s.context, s.out, demonstrator.Options{
		Deployment: c.Deployment, For: c.For, Failover: c.Failover, Surge: c.Surge, Stay: c.Stay, Seed: c.Seed,
	})
	if err != nil {
		return err
	}
	if figures.Broken() {
		return errBroken
	}
	return nil
}
