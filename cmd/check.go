package cmd

import "github.com/marigoldgauge/marigoldgauge/loader"

// checkCmd checks a settings file.
type checkCmd struct {
	Settings string `arg:"" help:"Settings file." type:"existingfile"`
}

// Run checks the file.
func (c *checkCmd) Run(s *session) error {
	settings, err := loader.Load(c.Settings)
	if err != nil {
		return err
	}
	return s.print(settings, func() { s.line("%s: every field is valid", c.Settings) })
}
