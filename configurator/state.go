// Package configurator manages the configuration of the fleet: templates,
// organisation profiles, keys and routes. Each generation of the configuration
// is the result of one reviewed and accepted proposal.
package configurator

import "slices"

// OpenOrganisation is the organisation to which requests on open routes are attributed.
const OpenOrganisation = "open"

// State is one generation of the configuration. A State is immutable.
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

// Template returns the template of a name.
func (s State) Template(name string) (Template, bool) {
	return findByName(s.Templates, name, templateName)
}

// Organisation returns the profile of a name.
func (s State) Organisation(name string) (Organisation, bool) {
	return findByName(s.Organisations, name, organisationName)
}

// Route returns the route of a database name.
func (s State) Route(database string) (Route, bool) {
	return findByName(s.Routes, database, routeName)
}

func templateName(t Template) string         { return t.Name }
func organisationName(o Organisation) string { return o.Name }
func routeName(r Route) string               { return r.Database }

// findByName returns the element with a name from a slice sorted by name.
func findByName[E any](list []E, name string, nameOf func(E) string) (E, bool) {
	i, ok := searchByName(list, name, nameOf)
	if !ok {
		var zero E
		return zero, false
	}
	return list[i], true
}

// upsert returns a copy of a sorted slice in which e replaces the element of the
// same name, or is inserted in order.
func upsert[E any](list []E, e E, nameOf func(E) string) []E {
	i, ok := searchByName(list, nameOf(e), nameOf)
	out := slices.Clone(list)
	if ok {
		out[i] = e
		return out
	}
	return slices.Insert(out, i, e)
}

// searchByName returns the index of name in a sorted slice, or the index at which
// it would be inserted.
func searchByName[E any](list []E, name string, nameOf func(E) string) (int, bool) {
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
