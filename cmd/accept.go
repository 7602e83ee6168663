package cmd

import (
	"time"

	"github.com/marigoldgauge/marigoldgauge/governor"
)

// acceptCmd accepts a proposal.
type acceptCmd struct {
	Proposal string        `arg:"" help:"Identifier of the proposal."`
	Wait     time.Duration `help:"How long to wait until the change is in force everywhere."`
}

// Run accepts the proposal. Repeating it after a lost answer is safe.
func (c *acceptCmd) Run(s *session) error {
	change, err := s.board.Accept(s.context, c.Proposal, s.operator, time.Now().UTC())
	if err != nil {
		return err
	}
	if c.Wait > 0 {
		return s.follow(change.Generation, c.Wait)
	}
	return s.print(change, func() {
		s.line("proposal=%s generation=%d proposer=%s accepter=%s", change.ID, change.Generation, change.Proposer, change.Accepter)
	})
}

// generationOf returns the generation that a proposal became.
func generationOf(changes []governor.Change, proposal string) (uint64, bool) {
	for _, c := range changes {
		if c.ID == proposal {
			return c.Generation, true
		}
	}
	return 0, false
}
