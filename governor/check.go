package governor

import (
	"fmt"
	"slices"
)

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
