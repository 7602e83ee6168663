// Package cataloguer holds the configuration in force: routes, groups,
// organisations and their keys. It never reverts to an earlier version.
package cataloguer

import "time"

// Catalogue is one version of the configuration. It is immutable after New.
type Catalogue struct {
	// Version is the version number that the operator assigned.
	Version uint64
	// TransactionIdleTimeout is the time after which an idle transaction is rolled back.
	TransactionIdleTimeout time.Duration
	// Groups maps names to groups of instances.
	Groups Index[Group]
	// Organisations maps names to organisations.
	Organisations Index[Organisation]

	routes Index[Route]
	// keys maps keys to names of organisations; keyCount is the number of keys of all
	// organisations, each one counted for each organisation that has it.
	keys     Index[string]
	keyCount int
}

// New returns a Catalogue that indexes a configuration.
func New(version uint64, transactionIdle time.Duration, routes []Route, groups []Group, organisations []Organisation) *Catalogue {
	c := &Catalogue{Version: version, TransactionIdleTimeout: transactionIdle}
	c.routes, _ = Difference[Route]{Added: routes}.apply(c.routes, databaseOf)
	c.Groups, _ = Difference[Group]{Added: groups}.apply(c.Groups, groupName)
	c.Organisations, _ = Difference[Organisation]{Added: organisations}.apply(c.Organisations, organisationName)
	c.keys, c.keyCount, _ = changeKeys(c.keys, 0, Difference[Organisation]{Added: organisations})
	return c
}

// With returns the Catalogue of a later configuration that is stated by its differences from
// this one. It costs as much as the differences are long. ok is false if entries of the later
// configuration have the same name: then New must index it as a whole.
func (c *Catalogue) With(version uint64, transactionIdle time.Duration, routes Difference[Route], groups Difference[Group], organisations Difference[Organisation]) (_ *Catalogue, ok bool) {
	out := &Catalogue{Version: version, TransactionIdleTimeout: transactionIdle}
	var uniqueRoutes, uniqueGroups, uniqueOrganisations, uniqueKeys bool
	out.routes, uniqueRoutes = routes.apply(c.routes, databaseOf)
	out.Groups, uniqueGroups = groups.apply(c.Groups, groupName)
	out.Organisations, uniqueOrganisations = organisations.apply(c.Organisations, organisationName)
	out.keys, out.keyCount, uniqueKeys = changeKeys(c.keys, c.keyCount, organisations)
	return out, uniqueRoutes && uniqueGroups && uniqueOrganisations && uniqueKeys
}

// changeKeys returns the index and the number of the keys after a change of organisations;
// unique is false if organisations share a key.
func changeKeys(keys Index[string], count int, d Difference[Organisation]) (_ Index[string], total int, unique bool) {
	if len(d.Removed)+len(d.Added) > 0 {
		e := keys.edit(len(d.Added))
		for _, o := range d.Removed {
			count -= len(o.Keys)
			for _, k := range o.Keys {
				e.remove(k)
			}
		}
		for _, o := range d.Added {
			count += len(o.Keys)
			for _, k := range o.Keys {
				e.set(k, o.Name)
			}
		}
		keys = e.index
	}
	return keys, count, keys.Len() == count
}

// databaseOf returns the database of a route.
func databaseOf(r Route) string { return r.Database }

// groupName returns the name of a group.
func groupName(g Group) string { return g.Name }

// organisationName returns the name of an organisation.
func organisationName(o Organisation) string { return o.Name }

// Route returns the route of a database.
func (c *Catalogue) Route(database string) (Route, bool) {
	return c.routes.Get(database)
}

// OrganisationOf returns the organisation that a key belongs to.
func (c *Catalogue) OrganisationOf(key string) (Organisation, bool) {
	name, ok := c.keys.Get(key)
	if !ok {
		return Organisation{}, false
	}
	o, _ := c.Organisations.Get(name)
	return o, true
}

// DatabaseCount returns the number of databases that have a route.
func (c *Catalogue) DatabaseCount() int {
	return c.routes.Len()
}

// GroupsSince returns the groups that are new or changed since an earlier Catalogue, and the
// names of those that are gone. Without an earlier one (nil), all groups are new.
func (c *Catalogue) GroupsSince(earlier *Catalogue) (changed map[string]Group, removed []string) {
	if earlier == nil {
		earlier = &Catalogue{}
	}
	return c.Groups.Since(earlier.Groups, func(a, b Group) bool { return a == b })
}

// LimitsSince returns the organisations whose limits are new or changed since an earlier
// Catalogue, and the names of those that are gone. Without an earlier one (nil), all are new.
func (c *Catalogue) LimitsSince(earlier *Catalogue) (changed map[string]Organisation, removed []string) {
	if earlier == nil {
		earlier = &Catalogue{}
	}
	return c.Organisations.Since(earlier.Organisations, func(a, b Organisation) bool { return a.Limit == b.Limit })
}
