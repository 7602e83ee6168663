package cmd

import (
	"fmt"
	"strings"

	"github.com/marigoldgauge/marigoldgauge/coder"
	"github.com/marigoldgauge/marigoldgauge/configurator"
)

// organisationCmd lists or shows organisations.
type organisationCmd struct {
	List organisationListCmd `cmd:"" help:"List the organisations."`
	Show organisationShowCmd `cmd:"" help:"Show an organisation."`
}

// organisationListCmd lists the organisations.
type organisationListCmd struct{}

// Run lists the organisations.
func (c *organisationListCmd) Run(s *session) error {
	state, _, err := s.repository.Load(s.context)
	if err != nil {
		return err
	}
	return s.printResult(state.Organisations, func() { s.printOrganisations(state, state.Organisations) })
}

// organisationShowCmd shows an organisation.
type organisationShowCmd struct {
	Name string `arg:"" help:"Name of the organisation."`
}

// Run shows the organisation.
func (c *organisationShowCmd) Run(s *session) error {
	state, _, err := s.repository.Load(s.context)
	if err != nil {
		return err
	}
	o, ok := state.Organisation(c.Name)
	if !ok {
		return coder.New(coder.ObjectUnknown, "no organisation "+c.Name)
	}
	return s.printResult(o, func() {
		s.printOrganisations(state, []configurator.Organisation{o})
		rows := [][]string{{"KEY", "STATE"}}
		for _, k := range o.Keys {
			rows = append(rows, []string{k.ID, keyState(k)})
		}
		s.printTable(rows)
	})
}

// keyState returns the state of a key as shown to operators.
func keyState(k configurator.Key) string {
	if k.Withdrawn {
		return "withdrawn"
	}
	return "live"
}

// printOrganisations prints a table of organisations with their effective values.
func (s *session) printOrganisations(state configurator.State, list []configurator.Organisation) {
	rows := [][]string{{"ORGANISATION", "TEMPLATE", "RATE", "BURST", "STALENESS", "DATABASES", "KEYS"}}
	for _, o := range list {
		e := state.Effective(o)
		live := 0
		for _, k := range o.Keys {
			if !k.Withdrawn {
				live++
			}
		}
		rows = append(rows, []string{
			o.Name,
			o.Template,
			fmt.Sprintf("%g from %s", e.Limit.Rate, e.RateOrigin),
			fmt.Sprintf("%g from %s", e.Limit.Burst, e.BurstOrigin),
			fmt.Sprintf("%s from %s", e.Staleness, e.StalenessOrigin),
			strings.Join(o.Databases, ","),
			fmt.Sprintf("%d live", live),
		})
	}
	s.printTable(rows)
}
