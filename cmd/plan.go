package cmd

import (
	"context"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"github.com/marigoldgauge/marigoldgauge/coder"
	"github.com/marigoldgauge/marigoldgauge/dumper"
	"github.com/marigoldgauge/marigoldgauge/governor"
	"github.com/marigoldgauge/marigoldgauge/reporter"
)

// planCmd shows what a proposal would do.
type planCmd struct {
	Proposal  string   `arg:"" help:"Identifier of the proposal."`
	Report    string   `help:"File to which the report is written: .html or .md." type:"path"`
	Processes []string `help:"Operator addresses of processes that are asked for connected callers." placeholder:"IP:PORT"`
}

// Run shows the plan.
func (c *planCmd) Run(s *session) error {
	change, err := s.board.Proposal(s.context, c.Proposal)
	if err != nil {
		return err
	}
	state, _, err := s.board.Load(s.context)
	if err != nil {
		return err
	}
	plan, err := governor.Preview(state, change, s.facts(c.Processes))
	if err != nil {
		return err
	}
	return s.report(reporter.Report{Plan: plan}, c.Report)
}

// facts asks processes for what a plan should know.
func (s *session) facts(processes []string) governor.Facts {
	f := governor.Facts{Callers: map[string]int{}}
	for _, address := range processes {
		var d dumper.Dump
		if err := s.ask(address, "/dump", &d); err != nil {
			s.line("warning: %s does not answer", address)
			continue
		}
		for o, n := range d.CallersByOrganisation {
			f.Callers[o] += n
		}
	}
	return f
}

// report shows a report and writes it to a file, if one is named.
func (s *session) report(r reporter.Report, path string) error {
	if path != "" {
		format, ok := reporter.FormatOf(path)
		if !ok {
			return coder.New(coder.UsageInvalid, "the report's file must end in .html or .md")
		}
		raw, err := reporter.Render(r, format)
		if err != nil {
			return err
		}
		if err := os.WriteFile(path, raw, reportMode); err != nil {
			return eris.Wrap(err, "writing the report")
		}
	}
	text, err := reporter.Render(r, reporter.Markdown)
	if err != nil {
		return err
	}
	return s.print(r, func() { s.line("%s", text) })
}

// reportMode is the mode of a report's file.
const reportMode = 0o644

// bounded returns a context for one question to a process.
func (s *session) bounded() (context.Context, context.CancelFunc) {
	return context.WithTimeout(s.context, askTimeout)
}

// askTimeout bounds a question to a process.
const askTimeout = 5 * time.Second
