package cmd

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/marigoldgauge/marigoldgauge/coder"
	"github.com/marigoldgauge/marigoldgauge/governor"
)

// watchCmd watches a change take force.
type watchCmd struct {
	Change string        `arg:"" help:"Identifier of the proposal, or its generation."`
	For    time.Duration `help:"How long to watch." default:"30s"`
}

// Run shows the progress until the change is in force everywhere.
func (c *watchCmd) Run(s *session) error {
	generation, err := strconv.ParseUint(c.Change, 10, 64)
	if err != nil {
		changes, err := s.board.History(s.context)
		if err != nil {
			return err
		}
		var ok bool
		if generation, ok = generationOf(changes, c.Change); !ok {
			return coder.New(coder.ProposalUnknown, "no accepted change "+c.Change)
		}
	}
	return s.follow(generation, c.For)
}

// progress is one step on the way to being in force.
type progress struct {
	Generation uint64 `json:"generation"`
	InForceOn  int    `json:"in-force-on"`
	VMs        int    `json:"vms"`
}

// follow shows the progress of a generation for a time.
func (s *session) follow(generation uint64, wait time.Duration) error {
	deadline := time.Now().Add(wait)
	var after uint64
	last := progress{}
	for time.Now().Before(deadline) {
		page, err := s.store.List(s.context, governor.StatusPrefix)
		if err != nil {
			return coder.New(coder.StoreUnavailable, "reading the status of the fleet")
		}
		after = page.Revision
		now := progress{Generation: generation}
		for _, o := range page.Objects {
			var status governor.Status
			if err := json.Unmarshal(o.Value, &status); err == nil {
				now.InForceOn += status.Reached(generation)
				now.VMs += len(status.Members)
			}
		}
		if now != last {
			_ = s.print(now, func() { s.line("generation=%d in-force-on=%d of=%d", now.Generation, now.InForceOn, now.VMs) })
			last = now
		}
		if now.VMs > 0 && now.InForceOn == now.VMs {
			return nil
		}
		if _, err := s.store.Watch(s.context, governor.StatusPrefix, after, min(time.Until(deadline), time.Second)); err != nil {
			return coder.New(coder.StoreUnavailable, "watching the status of the fleet")
		}
	}
	return coder.New(coder.AcceptUnknown, "the change is accepted, but not known to be in force everywhere yet")
}
