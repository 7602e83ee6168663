package configurator

import "slices"

// Index holds one State with lookup tables for the request path.
type Index struct {
	state         State
	organisations map[string]*Profile
	keys          map[string]keyEntry
	groups        map[string][]string
}

// keyEntry is a key with the organisation that holds it.
type keyEntry struct {
	organisation string
	key          Key
}

// NewIndex returns the index of a state.
func NewIndex(s State) *Index {
	x := &Index{
		state:         s,
		organisations: make(map[string]*Profile, len(s.Organisations)),
		keys:          map[string]keyEntry{},
		groups:        map[string][]string{},
	}
	for _, o := range s.Organisations {
		p := &Profile{Organisation: o, Effective: s.Effective(o), Groups: s.groupsOf(o)}
		x.organisations[o.Name] = p
		for _, k := range o.Keys {
			x.keys[k.ID] = keyEntry{organisation: o.Name, key: k}
		}
		for _, g := range p.Groups {
			x.groups[g] = append(x.groups[g], o.Name)
		}
	}
	return x
}

// groupsOf returns the database groups that an organisation uses, sorted by name.
func (s State) groupsOf(o Organisation) []string {
	var groups []string
	for _, d := range o.Databases {
		if r, ok := s.Route(d); ok {
			groups = append(groups, r.Group)
		}
	}
	slices.Sort(groups)
	return slices.Compact(groups)
}

// State returns the indexed state.
func (x *Index) State() State {
	return x.state
}

// Generation returns the generation of the state.
func (x *Index) Generation() uint64 {
	return x.state.Generation
}

// Profile returns the profile of an organisation.
func (x *Index) Profile(organisation string) (*Profile, bool) {
	p, ok := x.organisations[organisation]
	return p, ok
}

// Key returns a key that is not withdrawn, with its organisation.
func (x *Index) Key(id string) (organisation string, key Key, ok bool) {
	e, ok := x.keys[id]
	if !ok || e.key.Withdrawn {
		return "", Key{}, false
	}
	return e.organisation, e.key, true
}

// Organisations returns the names of the organisations that use a group.
func (x *Index) Organisations(group string) []string {
	return x.groups[group]
}

// AllowedRoute returns the route of a database and reports whether the organisation
// may use it.
func (x *Index) AllowedRoute(organisation, database string) (Route, bool) {
	r, ok := x.state.Route(database)
	if !ok {
		return Route{}, false
	}
	if r.Open {
		return r, true
	}
	p, ok := x.organisations[organisation]
	if !ok || !slices.Contains(p.Databases, database) {
		return Route{}, false
	}
	return r, true
}
