package governor

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/marigoldgauge/marigoldgauge/coder"
)

// Facts are what a plan knows of the running fleet; the zero value knows nothing.
type Facts struct {
	// Callers counts the connected callers by organisation.
	Callers map[string]int
	// Lag is the largest lag of a replica at hand; zero if unknown.
	Lag time.Duration
}

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

// Row is one effective value before and after a change.
type Row struct {
	// Organisation names the organisation.
	Organisation string
	// Parameter names the value.
	Parameter string
	// Before is the value in force; empty where there is none.
	Before string
	// BeforeOrigin tells where it comes from.
	BeforeOrigin Origin
	// After is the value after the change.
	After string
	// AfterOrigin tells where it comes from.
	AfterOrigin Origin
}

// Touched is an organisation that a change affects.
type Touched struct {
	// Organisation names the organisation.
	Organisation string
	// Callers is the number of its connected callers.
	Callers int
	// Effect tells what the change does to them.
	Effect string
}

// Check is one safety check.
type Check struct {
	// Name names the check.
	Name string
	// Passed reports whether the change is safe in this respect.
	Passed bool
	// Blocks reports that a change that does not pass cannot be accepted.
	Blocks bool
	// Detail gives the figures.
	Detail string
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

// row adds a value that changes.
func (p *Plan) row(organisation string, parameter Parameter, existed bool, before string, bo Origin, after string, ao Origin) {
	if existed && before == after && bo == ao {
		return
	}
	if !existed {
		before, bo = "", ""
	}
	p.Rows = append(p.Rows, Row{Organisation: organisation, Parameter: string(parameter), Before: before, BeforeOrigin: bo, After: after, AfterOrigin: ao})
}

// effect tells what a change does to the callers of an organisation.
func effect(old, o Organisation, before, after Effective, existed bool) string {
	switch {
	case !existed:
		return "new organisation; nobody is connected"
	case len(liveKeys(o)) < len(liveKeys(old)):
		return "callers with a withdrawn key are disconnected after the statement at hand"
	case after.Limit.Rate < before.Limit.Rate || after.Limit.Burst < before.Limit.Burst:
		return "callers stay connected; requests above the lower rate are refused as not run"
	case after.Staleness < before.Staleness:
		return "callers stay connected; more reads go to the primary while replicas lag"
	default:
		return "callers stay connected"
	}
}

// liveKeys returns the identifiers of the keys that work.
func liveKeys(o Organisation) []string {
	var ids []string
	for _, k := range o.Keys {
		if !k.Withdrawn {
			ids = append(ids, k.ID)
		}
	}
	return ids
}

// number writes a number.
func number(v float64) string {
	return strconv.FormatFloat(v, 'f', -1, 64)
}

// list writes names.
func list(names []string) string {
	out := ""
	for i, n := range names {
		if i > 0 {
			out += ", "
		}
		out += n
	}
	return out
}

// checkBase checks that no other change came in between.
func checkBase(s State, c Change) Check {
	return Check{
		Name:   "base-is-current",
		Passed: c.Base == s.Generation,
		Blocks: true,
		Detail: fmt.Sprintf("proposed on generation %d, current is %d", c.Base, s.Generation),
	}
}

// checkRanges tells that all values are within the ranges of their templates.
func checkRanges(next State) Check {
	return Check{
		Name:   "values-in-range",
		Passed: true,
		Blocks: true,
		Detail: fmt.Sprintf("%d organisations are within the ranges of %d templates", len(next.Organisations), len(next.Templates)),
	}
}

// checkCapacity holds the sum of the rates against the capacity of each group.
func checkCapacity(next State) []Check {
	var out []Check
	for _, r := range next.Routes {
		if r.Capacity <= 0 {
			continue
		}
		sum := 0.0
		for _, o := range next.Organisations {
			if slices.Contains(o.Databases, r.Database) {
				sum += next.Effective(o).Limit.Rate
			}
		}
		out = append(out, Check{
			Name:   "rates-within-capacity " + r.Database,
			Passed: sum <= r.Capacity,
			Blocks: true,
			Detail: fmt.Sprintf("rates add up to %s of %s requests a second", number(sum), number(r.Capacity)),
		})
	}
	return out
}

// checkKeys looks for organisations that lose their last key.
func checkKeys(before, after State) Check {
	var without []string
	for _, o := range after.Organisations {
		old, existed := before.Organisation(o.Name)
		if existed && len(liveKeys(old)) > 0 && len(liveKeys(o)) == 0 {
			without = append(without, o.Name)
		}
	}
	if len(without) == 0 {
		return Check{Name: "no-organisation-without-key", Passed: true, Detail: "no organisation loses its last key"}
	}
	return Check{Name: "no-organisation-without-key", Detail: "left without a key: " + list(without)}
}

// checkStaleness holds the allowed staleness against the lag at hand.
func checkStaleness(next State, f Facts) Check {
	if f.Lag == 0 {
		return Check{Name: "staleness-above-lag", Passed: true, Detail: "the lag at hand is not known"}
	}
	var below []string
	for _, o := range next.Organisations {
		if next.Effective(o).Staleness < f.Lag {
			below = append(below, o.Name)
		}
	}
	return Check{
		Name:   "staleness-above-lag",
		Passed: len(below) == 0,
		Detail: fmt.Sprintf("replicas lag %s; below it: %d organisations %s", f.Lag, len(below), list(below)),
	}
}
