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
	Stay       bool          `help:"Keep the fleet up afterwards and print how to connect."`
}

// Run runs the demonstration.
func (c *demoCmd) Run(s *session) error {
	broken, err := demonstrator.Run(s.context, s.out, demonstrator.Options{
		Deployment: c.Deployment, For: c.For, Failover: c.Failover, Surge: c.Surge, Stay: c.Stay,
	})
	if err != nil {
		return err
	}
	if broken {
		return errBroken
	}
	return nil
}
