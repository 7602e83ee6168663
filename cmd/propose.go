package cmd

import (
	"bytes"
	"crypto/rand"
	"encoding/json"
	"os"
	"strings"
	"time"

	"github.com/goccy/go-yaml"

	"github.com/marigoldgauge/marigoldgauge/coder"
	"github.com/marigoldgauge/marigoldgauge/configurator"
)

// proposeCmd proposes a change.
type proposeCmd struct {
	Template     string   `help:"Template to change." xor:"object"`
	Organisation string   `help:"Organisation to change." xor:"object"`
	File         string   `help:"YAML file with a list of edits." type:"existingfile" xor:"object"`
	Set          []string `help:"Parameter to set, such as rate=80; rate, burst or staleness."`
	Unset        []string `help:"Parameter of an organisation to reset to the template's default."`
	Reason       string   `help:"Why the change is made."`
	ID           string   `help:"Identifier of the proposal; repeating a command with the same one is safe."`
}

// newID returns a random identifier for a proposal.
func newID() string {
	return strings.ToLower(rand.Text()[:12])
}

// Run stores the proposal.
func (c *proposeCmd) Run(s *session) error {
	edits, err := c.edits()
	if err != nil {
		return err
	}
	if c.ID == "" {
		c.ID = newID()
	}
	change, err := s.repository.Propose(s.context, configurator.Change{ID: c.ID, Proposer: s.operator, Reason: c.Reason, Proposed: time.Now().UTC(), Edits: edits})
	if err != nil {
		return err
	}
	return s.printResult(change, func() { s.printLine("proposal=%s base=%d edits=%d", change.ID, change.Base, len(change.Edits)) })
}

// edits returns the edits that the flags describe.
func (c *proposeCmd) edits() ([]configurator.Edit, error) {
	if c.File != "" {
		return readEdits(c.File)
	}
	set, object := configurator.SetOrganisation, c.Organisation
	if c.Template != "" {
		set, object = configurator.SetTemplate, c.Template
	}
	var edits []configurator.Edit
	for _, pair := range c.Set {
		name, value, ok := strings.Cut(pair, "=")
		if !ok {
			return nil, coder.New(coder.UsageInvalid, "--set must have the form parameter=value")
		}
		edits = append(edits, configurator.Edit{Kind: set, Object: object, Parameter: configurator.Parameter(name), Value: value})
	}
	for _, name := range c.Unset {
		edits = append(edits, configurator.Edit{Kind: configurator.UnsetOrganisation, Object: object, Parameter: configurator.Parameter(name)})
	}
	if len(edits) == 0 || object == "" {
		return nil, coder.New(coder.UsageInvalid, "a template, an organisation or a file is required, and at least one --set or --unset without a file")
	}
	return edits, nil
}

// readEdits reads a list of edits from a YAML file and rejects unknown fields.
func readEdits(path string) ([]configurator.Edit, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, coder.New(coder.UsageInvalid, err.Error())
	}
	text, err := yaml.YAMLToJSON(raw)
	if err != nil {
		return nil, coder.New(coder.UsageInvalid, path+": "+err.Error())
	}
	var edits []configurator.Edit
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&edits); err != nil {
		return nil, coder.New(coder.UsageInvalid, path+": "+err.Error())
	}
	return edits, nil
}

// proposeAndAccept proposes a change and accepts it at once.
func (s *session) proposeAndAccept(id, reason string, edits []configurator.Edit) (configurator.Change, error) {
	now := time.Now().UTC()
	if _, err := s.repository.Propose(s.context, configurator.Change{ID: id, Proposer: s.operator, Reason: reason, Proposed: now, Edits: edits}); err != nil {
		return configurator.Change{}, err
	}
	return s.repository.Accept(s.context, id, s.operator, now)
}
