package cmd

import (
	"fmt"

	"github.com/marigoldgauge/marigoldgauge/coder"
	"github.com/marigoldgauge/marigoldgauge/configurator"
)

// templateCmd lists or shows templates.
type templateCmd struct {
	List templateListCmd `cmd:"" help:"List the templates."`
	Show templateShowCmd `cmd:"" help:"Show a template."`
}

// templateListCmd lists the templates.
type templateListCmd struct{}

// Run lists the templates.
func (c *templateListCmd) Run(s *session) error {
	state, _, err := s.repository.Load(s.context)
	if err != nil {
		return err
	}
	return s.printResult(state.Templates, func() { s.printTemplates(state.Templates) })
}

// templateShowCmd shows a template.
type templateShowCmd struct {
	Name string `arg:"" help:"Name of the template."`
}

// Run shows the template.
func (c *templateShowCmd) Run(s *session) error {
	state, _, err := s.repository.Load(s.context)
	if err != nil {
		return err
	}
	t, ok := state.Template(c.Name)
	if !ok {
		return coder.New(coder.ObjectUnknown, "no template "+c.Name)
	}
	return s.printResult(t, func() { s.printTemplates([]configurator.Template{t}) })
}

// printTemplates prints a table of templates.
func (s *session) printTemplates(list []configurator.Template) {
	rows := [][]string{{"TEMPLATE", "RATE", "BURST", "STALENESS"}}
	for _, t := range list {
		rows = append(rows, []string{
			t.Name,
			fmt.Sprintf("%g (%g to %g)", t.Rate.Default, t.Rate.Min, t.Rate.Max),
			fmt.Sprintf("%g (%g to %g)", t.Burst.Default, t.Burst.Min, t.Burst.Max),
			fmt.Sprintf("%s (%s to %s)", t.Staleness.Default, t.Staleness.Min, t.Staleness.Max),
		})
	}
	s.printTable(rows)
}
