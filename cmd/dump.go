package cmd

import (
	"encoding/json"
	"net/http"

	"github.com/marigoldgauge/marigoldgauge/coder"
	"github.com/marigoldgauge/marigoldgauge/dumper"
)

// dumpCmd shows the state of a process.
type dumpCmd struct {
	Process string `arg:"" help:"Operator address of the process." placeholder:"IP:PORT"`
}

// Run shows the state, always as JSON.
func (c *dumpCmd) Run(s *session) error {
	var d dumper.Dump
	if err := s.fetchJSON(c.Process, "/dump", &d); err != nil {
		return err
	}
	s.json = true
	return s.printResult(d, func() {})
}

// fetchJSON sends a GET request to a process and decodes its JSON response.
func (s *session) fetchJSON(address, path string, out any) error {
	ctx, cancel := s.withRequestTimeout()
	defer cancel()
	unavailable := func(err error) error {
		return coder.New(coder.ProcessUnavailable, address+": "+err.Error())
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return unavailable(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return unavailable(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if err := json.NewDecoder(resp.Body).Decode(out); err != nil {
		return unavailable(err)
	}
	return nil
}
