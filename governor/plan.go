package governor

import (
	"github.com/marigoldgauge/marigoldgauge/coder"
)

// Plan shows what a change would do.
type Plan struct {
	// Change is the proposal, or the accepted change.
	Change Change
	// Current is the generation on which the plan was computed.
	Current uint64
	// Rows are the effective values that change.
	Rows []Row
	// Touched lists the organisations that the change affects, in ascending order.
	Touched []Touched
	// Checks are the safety checks with their figures.
	Checks []Check
}

// Preview returns the plan of a change on a state.
func Preview(s State, c Change, f Facts) (Plan, error) {
	next, err := s.Apply(c)
	if err != nil {
		return Plan{}, err
	}
	p := Plan{Change: c, Current: s.Generation}
	for _, o := range next.Organisations {
		p.compare(s, next, o, f)
	}
	p.Checks = append(p.Checks, checkBase(s, c), checkRanges(next))
	p.Checks = append(p.Checks, checkCapacity(next)...)
	p.Checks = append(p.Checks, checkKeys(s, next), checkStaleness(next, f))
	return p, nil
}

// Blocked returns an error with code ProposalInvalid when a blocking check failed.
func (p Plan) Blocked() error {
	for _, c := range p.Checks {
		if c.Blocks && !c.Passed {
			return coder.New(coder.ProposalInvalid, "check "+c.Name+" failed: "+c.Detail)
		}
	}
	return nil
}

// compare adds what changes for one organisation.
func (p *Plan) compare(before, after State, o Organisation, f Facts) {
	a := after.Effective(o)
	var b Effective
	old, existed := before.Organisation(o.Name)
	if existed {
		b = before.Effective(old)
	}
	rows := len(p.Rows)
	p.row(o.Name, Rate, existed, number(b.Limit.Rate), b.RateOrigin, number(a.Limit.Rate), a.RateOrigin)
	p.row(o.Name, Burst, existed, number(b.Limit.Burst), b.BurstOrigin, number(a.Limit.Burst), a.BurstOrigin)
	p.row(o.Name, Staleness, existed, b.Staleness.String(), b.StalenessOrigin, a.Staleness.String(), a.StalenessOrigin)
	p.row(o.Name, "databases", existed, list(old.Databases), FromOrganisation, list(o.Databases), FromOrganisation)
	p.row(o.Name, "live-keys", existed, list(liveKeys(old)), FromOrganisation, list(liveKeys(o)), FromOrganisation)
	if len(p.Rows) == rows {
		return
	}
	p.Touched = append(p.Touched, Touched{Organisation: o.Name, Callers: f.Callers[o.Name], Effect: effect(old, o, b, a, existed)})
}
