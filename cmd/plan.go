package cmd

import (
	"context"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"github.com/marigoldgauge/marigoldgauge/coder"
	"github.com/marigoldgauge/marigoldgauge/configurator"
	"github.com/marigoldgauge/marigoldgauge/dumper"
	"github.com/marigoldgauge/marigoldgauge/reporter"
)

// planCmd shows what a proposal would do.
type planCmd struct {
	Proposal  string   `arg:"" help:"Identifier of the proposal."`
	Report    string   `help:"File to which the report is written: .html or .md." type:"path"`
	Processes []string `help:"Operator addresses of processes from which to fetch the number of connected callers." placeholder:"IP:PORT"`
}

// Run shows the plan.
func (c *planCmd) Run(s *session) error {
	change, err := s.repository.Proposal(s.context, c.Proposal)
	if err != nil {
		return err
	}
	state, _, err := s.repository.Load(s.context)
	if err != nil {
		return err
	}
	plan, err := configurator.Preview(state, change, s.collectFacts(c.Processes))
	if err != nil {
		return err
	}
	return s.writeReport(reporter.Report{Plan: plan}, c.Report)
}

// collectFacts fetches the number of connected callers from processes. It warns
// about a process that can't be reached and skips it.
func (s *session) collectFacts(processes []string) configurator.FleetStatus {
	f := configurator.FleetStatus{Callers: map[string]int{}}
	for _, address := range processes {
		var d dumper.Dump
		if err := s.fetchJSON(address, "/dump", &d); err != nil {
			s.printLine("warning: %s did not respond", address)
			continue
		}
		for o, n := range d.CallersByOrganisation {
			f.Callers[o] += n
		}
	}
	return f
}

// writeReport prints a report and, if path is not empty, also writes it to a file.
func (s *session) writeReport(r reporter.Report, path string) error {
	if path != "" {
		format, ok := reporter.FormatOf(path)
		if !ok {
			return coder.New(coder.UsageInvalid, "the name of the report file must end in .html or .md")
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
	return s.printResult(r, func() { s.printLine("%s", text) })
}

// reportMode is the file mode of a report.
const reportMode = 0o644

// withRequestTimeout returns a context with the timeout of one request to a process.
func (s *session) withRequestTimeout() (context.Context, context.CancelFunc) {
	return context.WithTimeout(s.context, requestTimeout)
}

// requestTimeout is the timeout of one request to a process.
const requestTimeout = 5 * time.Second
