package cmd

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/marigoldgauge/marigoldgauge/coder"
	"github.com/marigoldgauge/marigoldgauge/configurator"
)

// watchCmd watches the rollout of a change.
type watchCmd struct {
	Change string        `arg:"" help:"Identifier of the proposal, or its generation."`
	For    time.Duration `help:"How long to watch." default:"30s"`
}

// Run prints the progress until the change is in force on all VMs.
func (c *watchCmd) Run(s *session) error {
	generation, err := strconv.ParseUint(c.Change, 10, 64)
	if err != nil {
		changes, err := s.repository.History(s.context)
		if err != nil {
			return err
		}
		var ok bool
		if generation, ok = generationOf(changes, c.Change); !ok {
			return coder.New(coder.ProposalUnknown, "no accepted change "+c.Change)
		}
	}
	return s.watchUntilInForce(generation, c.For)
}

// progress is the number of VMs on which a generation is in force.
type progress struct {
	Generation uint64 `json:"generation"`
	InForceOn  int    `json:"in-force-on"`
	VMs        int    `json:"vms"`
}

// watchUntilInForce prints the progress of a generation until it is in force on all
// VMs, and fails after the duration wait.
func (s *session) watchUntilInForce(generation uint64, wait time.Duration) error {
	deadline := time.Now().Add(wait)
	var after uint64
	last := progress{}
	for time.Now().Before(deadline) {
		page, err := s.store.List(s.context, configurator.StatusPrefix)
		if err != nil {
			return coder.New(coder.StoreUnavailable, "reading the status of the fleet")
		}
		after = page.Revision
		now := progress{Generation: generation}
		for _, o := range page.Objects {
			var status configurator.CellStatus
			if err := json.Unmarshal(o.Value, &status); err == nil {
				now.InForceOn += status.CountAtLeast(generation)
				now.VMs += len(status.Members)
			}
		}
		if now != last {
			_ = s.printResult(now, func() { s.printLine("generation=%d in-force-on=%d of=%d", now.Generation, now.InForceOn, now.VMs) })
			last = now
		}
		if now.VMs > 0 && now.InForceOn == now.VMs {
			return nil
		}
		if _, err := s.store.Watch(s.context, configurator.StatusPrefix, after, min(time.Until(deadline), time.Second)); err != nil {
			return coder.New(coder.StoreUnavailable, "watching the status of the fleet")
		}
	}
	return coder.New(coder.AcceptUnknown, "the change was accepted, but is not yet known to be in force on all VMs")
}
