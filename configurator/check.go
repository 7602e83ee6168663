package configurator

import (
	"fmt"
	"slices"
)

// Check is the result of one safety check of a change.
type Check struct {
	// Name is the kebab-case name of the check.
	Name string
	// Passed reports whether the change passed the check.
	Passed bool
	// Blocks reports whether a change that fails the check cannot be accepted.
	Blocks bool
	// Detail describes the result with its figures.
	Detail string
}

// checkBaseIsCurrent checks that no other change was accepted after the base.
func checkBaseIsCurrent(s State, c Change) Check {
	return Check{
		Name:   "base-is-current",
		Passed: c.Base == s.Generation,
		Blocks: true,
		Detail: fmt.Sprintf("proposed on generation %d, current is %d", c.Base, s.Generation),
	}
}

// checkValuesInRange reports that all values are within the ranges of their
// templates. It always passes, because Apply rejects other values.
func checkValuesInRange(next State) Check {
	return Check{
		Name:   "values-in-range",
		Passed: true,
		Blocks: true,
		Detail: fmt.Sprintf("%d organisations are within the ranges of %d templates", len(next.Organisations), len(next.Templates)),
	}
}

// checkRatesWithinCapacity compares the sum of the rates with the capacity of each
// route. Routes without a known capacity are skipped.
func checkRatesWithinCapacity(next State) []Check {
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
			Detail: fmt.Sprintf("rates add up to %s of %s requests a second", formatNumber(sum), formatNumber(r.Capacity)),
		})
	}
	return out
}

// checkLastKeys checks that no organisation loses its last active key.
func checkLastKeys(before, after State) Check {
	var without []string
	for _, o := range after.Organisations {
		old, existed := before.Organisation(o.Name)
		if existed && len(activeKeyIDs(old)) > 0 && len(activeKeyIDs(o)) == 0 {
			without = append(without, o.Name)
		}
	}
	if len(without) == 0 {
		return Check{Name: "no-organisation-without-key", Passed: true, Detail: "no organisation loses its last key"}
	}
	return Check{Name: "no-organisation-without-key", Detail: "left without a key: " + joinNames(without)}
}

// checkStalenessAboveLag compares the allowed staleness with the current replica lag.
func checkStalenessAboveLag(next State, f FleetStatus) Check {
	if f.Lag == 0 {
		return Check{Name: "staleness-above-lag", Passed: true, Detail: "the current lag is not known"}
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
		Detail: fmt.Sprintf("replicas lag %s; below it: %d organisations %s", f.Lag, len(below), joinNames(below)),
	}
}
