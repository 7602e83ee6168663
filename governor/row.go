package governor

import (
	"strconv"
)

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
