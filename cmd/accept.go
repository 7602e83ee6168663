package cmd

import (
	"time"

	"github.com/marigoldgauge/marigoldgauge/configurator"
)

// acceptCmd accepts a proposal.
type acceptCmd struct {
	Proposal string        `arg:"" help:"Identifier of the proposal."`
	Wait     time.Duration `help:"How long to wait until the change is in force on all VMs."`
}

// Run accepts the proposal. It is safe to repeat after a lost response.
func (c *acceptCmd) Run(s *session) error {
	change, err := s.repository.Accept(s.context, c.Proposal, s.operator, time.Now().UTC())
	if err != nil {
		return err
	}
	if c.Wait > 0 {
		return s.watchUntilInForce(change.Generation, c.Wait)
	}
	return s.printResult(change, func() {
		s.printLine("proposal=%s generation=%d proposer=%s accepter=%s", change.ID, change.Generation, change.Proposer, change.Accepter)
	})
}

// generationOf returns the generation that an accepted proposal created.
func generationOf(changes []configurator.Change, proposal string) (uint64, bool) {
	for _, c := range changes {
		if c.ID == proposal {
			return c.Generation, true
		}
	}
	return 0, false
}
