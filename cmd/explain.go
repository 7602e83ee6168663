package cmd

import (
	"net/url"
	"time"

	"github.com/marigoldgauge/marigoldgauge/coder"
	"github.com/marigoldgauge/marigoldgauge/narrator"
	"github.com/marigoldgauge/marigoldgauge/recorder"
)

// explainCmd shows the last decisions of a process, or what logs tell about a request.
type explainCmd struct {
	narrator.Command
	Process string `arg:"" optional:"" help:"Operator address of the process; with --log the id of a request." placeholder:"IP:PORT"`
	Subject string `arg:"" optional:"" help:"Group, organisation or VM; all if omitted."`
}

// Run shows the recent decisions of a process or, with --log, explains a request.
func (c *explainCmd) Run(s *session) error {
	if len(c.Log) > 0 {
		return c.Explain(s.out, c.Process)
	}
	if c.Process == "" {
		return coder.New(coder.UsageInvalid, "a process, or a log with --log, is required")
	}
	var events []recorder.Event
	if err := s.fetchJSON(c.Process, "/explain?subject="+url.QueryEscape(c.Subject), &events); err != nil {
		return err
	}
	return s.printResult(events, func() {
		for _, e := range events {
			line := e.At.UTC().Format(time.RFC3339Nano) + " kind=" + e.Kind + " subject=" + e.Subject
			for _, i := range e.Inputs {
				line += " " + i.Name + "=" + i.Value
			}
			s.printLine("%s epoch=%d count=%d reason=%q", line, e.Epoch, e.Count, e.Reason)
		}
	})
}
