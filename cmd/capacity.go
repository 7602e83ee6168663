package cmd

import (
	"os"

	"github.com/rotisserie/eris"

	"github.com/marigoldgauge/marigoldgauge/estimator"
)

// capacityCmd writes the page docs/CAPACITY.md.
type capacityCmd struct {
	Slopes string `help:"Output of the benchmarks." default:"docs/slopes.txt" type:"existingfile"`
}

// Run writes the page.
func (c *capacityCmd) Run(s *session) error {
	f, err := os.Open(c.Slopes)
	if err != nil {
		return eris.Wrap(err, "opening the benchmark output")
	}
	defer func() { _ = f.Close() }()
	slopes, err := estimator.Parse(f)
	if err != nil {
		return err
	}
	return estimator.Write(s.out, slopes, estimator.TwoYearForecast())
}
