package configurator

import (
	"github.com/marigoldgauge/marigoldgauge/coder"
)

// Plan describes the effects of a change.
type Plan struct {
	// Change is the proposed or accepted change.
	Change Change
	// Current is the generation to which the change was applied.
	Current uint64
	// Rows list the effective values that differ.
	Rows []ValueDiff
	// Touched lists the organisations that the change affects, in ascending order.
	Touched []AffectedOrganisation
	// Checks are the safety checks with their figures.
	Checks []Check
}

// Preview returns the plan of applying a change to a state.
func Preview(s State, c Change, f FleetStatus) (Plan, error) {
	next, err := s.Apply(c)
	if err != nil {
		return Plan{}, err
	}
	p := Plan{Change: c, Current: s.Generation}
	for _, o := range next.Organisations {
		p.addOrganisation(s, next, o, f)
	}
	p.Checks = append(p.Checks, checkBaseIsCurrent(s, c), checkValuesInRange(next))
	p.Checks = append(p.Checks, checkRatesWithinCapacity(next)...)
	p.Checks = append(p.Checks, checkLastKeys(s, next), checkStalenessAboveLag(next, f))
	return p, nil
}

// BlockingError returns an error with code ProposalInvalid when a blocking check failed.
func (p Plan) BlockingError() error {
	for _, c := range p.Checks {
		if c.Blocks && !c.Passed {
			return coder.New(coder.ProposalInvalid, "check "+c.Name+" failed: "+c.Detail)
		}
	}
	return nil
}

// addOrganisation adds the differences for one organisation to the plan.
func (p *Plan) addOrganisation(before, after State, o Organisation, f FleetStatus) {
	a := after.Effective(o)
	var b Effective
	old, existed := before.Organisation(o.Name)
	if existed {
		b = before.Effective(old)
	}
	rows := len(p.Rows)
	p.addRow(o.Name, Rate, existed, formatNumber(b.Limit.Rate), b.RateOrigin, formatNumber(a.Limit.Rate), a.RateOrigin)
	p.addRow(o.Name, Burst, existed, formatNumber(b.Limit.Burst), b.BurstOrigin, formatNumber(a.Limit.Burst), a.BurstOrigin)
	p.addRow(o.Name, Staleness, existed, b.Staleness.String(), b.StalenessOrigin, a.Staleness.String(), a.StalenessOrigin)
	p.addRow(o.Name, "databases", existed, joinNames(old.Databases), FromOrganisation, joinNames(o.Databases), FromOrganisation)
	p.addRow(o.Name, "live-keys", existed, joinNames(activeKeyIDs(old)), FromOrganisation, joinNames(activeKeyIDs(o)), FromOrganisation)
	if len(p.Rows) == rows {
		return
	}
	p.Touched = append(p.Touched, AffectedOrganisation{Organisation: o.Name, Callers: f.Callers[o.Name], Effect: describeEffect(old, o, b, a, existed)})
}
