package configurator

import (
	"strconv"
)

// ValueDiff is one effective value before and after a change.
type ValueDiff struct {
	// Organisation is the name of the organisation.
	Organisation string
	// Parameter is the name of the value.
	Parameter string
	// Before is the value before the change; empty for a new organisation.
	Before string
	// BeforeOrigin is the source of Before.
	BeforeOrigin Origin
	// After is the value after the change.
	After string
	// AfterOrigin is the source of After.
	AfterOrigin Origin
}

// addRow adds a value to the plan if it, or its origin, changes.
func (p *Plan) addRow(organisation string, parameter Parameter, existed bool, before string, bo Origin, after string, ao Origin) {
	if existed && before == after && bo == ao {
		return
	}
	if !existed {
		before, bo = "", ""
	}
	p.Rows = append(p.Rows, ValueDiff{Organisation: organisation, Parameter: string(parameter), Before: before, BeforeOrigin: bo, After: after, AfterOrigin: ao})
}

// formatNumber formats a number without an exponent.
func formatNumber(v float64) string {
	return strconv.FormatFloat(v, 'f', -1, 64)
}

// joinNames joins names with commas.
func joinNames(names []string) string {
	out := ""
	for i, n := range names {
		if i > 0 {
			out += ", "
		}
		out += n
	}
	return out
}
