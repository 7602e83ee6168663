package cmd

import "github.com/marigoldgauge/marigoldgauge/loader"

// checkCmd validates a settings file.
type checkCmd struct {
	Settings string `arg:"" help:"Settings file." type:"existingfile"`
}

// Run validates the file.
func (c *checkCmd) Run(s *session) error {
	settings, err := loader.Load(c.Settings)
	if err != nil {
		return err
	}
	return s.printResult(settings, func() { s.printLine("%s: every field is valid", c.Settings) })
}
