package cmd

import (
	"net/url"
	"time"

	"github.com/marigoldgauge/marigoldgauge/explainer"
)

// explainCmd explains the last decisions of a process.
type explainCmd struct {
	Process string `arg:"" help:"Operator address of the process." placeholder:"IP:PORT"`
	Subject string `arg:"" optional:"" help:"Group, organisation or VM; all when left out."`
}

// Run shows the decisions.
func (c *explainCmd) Run(s *session) error {
	var events []explainer.Event
	if err := s.ask(c.Process, "/explain?subject="+url.QueryEscape(c.Subject), &events); err != nil {
		return err
	}
	return s.print(events, func() {
		for _, e := range events {
			line := e.At.UTC().Format(time.RFC3339Nano) + " kind=" + e.Kind + " subject=" + e.Subject
			for _, i := range e.Inputs {
				line += " " + i.Name + "=" + i.Value
			}
			s.line("%s epoch=%d count=%d reason=%q", line, e.Epoch, e.Count, e.Reason)
		}
	})
}
