package cmd

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/marigoldgauge/marigoldgauge/coder"
	"github.com/marigoldgauge/marigoldgauge/configurator"
	"github.com/marigoldgauge/marigoldgauge/reporter"
)

// historyCmd lists or shows accepted changes.
type historyCmd struct {
	List historyListCmd `cmd:"" default:"1" help:"List the accepted changes."`
	Show historyShowCmd `cmd:"" help:"Show an accepted change with its report."`
}

// historyListCmd lists the accepted changes.
type historyListCmd struct{}

// Run lists the changes.
func (c *historyListCmd) Run(s *session) error {
	changes, err := s.repository.History(s.context)
	if err != nil {
		return err
	}
	return s.printResult(changes, func() {
		rows := [][]string{{"GENERATION", "PROPOSAL", "PROPOSER", "ACCEPTER", "ACCEPTED", "EDITS", "REASON"}}
		for _, c := range changes {
			rows = append(rows, []string{
				strconv.FormatUint(c.Generation, 10), c.ID, c.Proposer, c.Accepter,
				c.Accepted.UTC().Format(time.RFC3339), strconv.Itoa(len(c.Edits)), c.Reason,
			})
		}
		s.printTable(rows)
	})
}

// historyShowCmd shows an accepted change.
type historyShowCmd struct {
	Generation uint64 `arg:"" help:"Generation that the change created."`
	Report     string `help:"File to which the report is written: .html or .md." type:"path"`
}

// Run shows the change and its plan against the generation before it.
func (c *historyShowCmd) Run(s *session) error {
	changes, err := s.repository.History(s.context)
	if err != nil {
		return err
	}
	var before configurator.State
	for _, change := range changes {
		if change.Generation == c.Generation {
			plan, err := configurator.Preview(before, change, configurator.FleetStatus{})
			if err != nil {
				return err
			}
			return s.writeReport(reporter.Report{Plan: plan, InForce: s.readInForce(c.Generation)}, c.Report)
		}
		if before, err = before.Apply(change); err != nil {
			return err
		}
	}
	return coder.New(coder.ProposalUnknown, "no generation "+strconv.FormatUint(c.Generation, 10))
}

// readInForce returns the record of when a generation was in force on all VMs, or
// nil if it can't be read.
func (s *session) readInForce(generation uint64) *configurator.Activation {
	o, err := s.store.Get(s.context, configurator.ActivationKey(generation))
	if err != nil {
		return nil
	}
	var f configurator.Activation
	if err := json.Unmarshal(o.Value, &f); err != nil {
		return nil
	}
	return &f
}
