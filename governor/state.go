// Package governor keeps the configuration of the fleet as reviewed change:
// templates, organisation profiles, keys and routes, each version the result
// of one accepted proposal.
package governor

import "slices"

// OpenOrganisation is the organisation for which requests of open routes run.
const OpenOrganisation = "open"

// State is one version of the configuration. A State is never changed.
type State struct {
	// Generation counts the accepted changes.
	Generation uint64 `json:"generation"`
	// Templates are the templates in ascending order of name.
	Templates []Template `json:"templates,omitempty"`
	// Organisations are the profiles in ascending order of name.
	Organisations []Organisation `json:"organisations,omitempty"`
	// Routes are the routes in ascending order of database.
	Routes []Route `json:"routes,omitempty"`
}

// Template returns a template by name.
func (s State) Template(name string) (Template, bool) {
	return find(s.Templates, name, templateName)
}

// Organisation returns a profile by name.
func (s State) Organisation(name string) (Organisation, bool) {
	return find(s.Organisations, name, organisationName)
}

// Route returns the route of a database name.
func (s State) Route(database string) (Route, bool) {
	return find(s.Routes, database, routeName)
}

func templateName(t Template) string         { return t.Name }
func organisationName(o Organisation) string { return o.Name }
func routeName(r Route) string               { return r.Database }

// find looks an element up in a slice sorted by name.
func find[E any](list []E, name string, nameOf func(E) string) (E, bool) {
	i, ok := search(list, name, nameOf)
	if !ok {
		var zero E
		return zero, false
	}
	return list[i], true
}

// put returns a copy of a sorted slice in which e replaces the element of the same name.
func put[E any](list []E, e E, nameOf func(E) string) []E {
	i, ok := search(list, nameOf(e), nameOf)
	out := slices.Clone(list)
	if ok {
		out[i] = e
		return out
	}
	return slices.Insert(out, i, e)
}

// search returns where name stands, or would stand, in a sorted slice.
func search[E any](list []E, name string, nameOf func(E) string) (int, bool) {
	return slices.BinarySearchFunc(list, name, func(e E, n string) int {
		switch m := nameOf(e); {
		case m < n:
			return -1
		case m > n:
			return 1
		default:
			return 0
		}
	})
}
