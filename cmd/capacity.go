package cmd

import (
	"os"

	"github.com/rotisserie/eris"

	"github.com/marigoldgauge/marigoldgauge/estimator"
)

// capacityCmd writes the page docs/CAPACITY-postgresql.md or docs/CAPACITY.md.
type capacityCmd struct {
	Page   string `help:"Page to write: that of the PostgreSQL side, which is computed from the slopes, or that of the platform." enum:"postgresql,platform" default:"postgresql"`
	Slopes string `help:"Output of the benchmarks." default:"docs/slopes.txt" type:"existingfile"`
}

// Run writes the page.
func (c *capacityCmd) Run(s *session) error {
	if c.Page == "platform" {
		return estimator.WritePlatform(s.out)
	}
	f, err := os.Open(c.Slopes)
	if err != nil {
		return eris.Wrap(err, "opening the benchmark output")
	}
	defer func() { _ = f.Close() }()
	slopes, err := estimator.Parse(f)
	if err != nil {
		return err
	}
	return estimator.WritePostgreSQL(s.out, slopes, estimator.TwoYearForecast())
}
