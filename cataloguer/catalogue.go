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
	Groups map[string]Group
	// Organisations maps names to organisations.
	Organisations map[string]Organisation

	routes map[string]Route
	keys   map[string]string
}

// New returns a Catalogue that indexes a configuration.
func New(version uint64, transactionIdle time.Duration, routes []Route, groups []Group, organisations []Organisation) *Catalogue {
	c := &Catalogue{
		Version: version, TransactionIdleTimeout: transactionIdle,
		Groups: map[string]Group{}, Organisations: map[string]Organisation{},
		routes: map[string]Route{}, keys: map[string]string{},
	}
	for _, r := range routes {
		c.routes[r.Database] = r
	}
	for _, g := range groups {
		c.Groups[g.Name] = g
	}
	for _, o := range organisations {
		c.Organisations[o.Name] = o
		for _, k := range o.Keys {
			c.keys[k] = o.Name
		}
	}
	return c
}

// Route returns the route of a database.
func (c *Catalogue) Route(database string) (Route, bool) {
	r, ok := c.routes[database]
	return r, ok
}

// OrganisationOf returns the organisation that a key belongs to.
func (c *Catalogue) OrganisationOf(key string) (Organisation, bool) {
	name, ok := c.keys[key]
	if !ok {
		return Organisation{}, false
	}
	return c.Organisations[name], true
}

// DatabaseCount returns the number of databases that have a route.
func (c *Catalogue) DatabaseCount() int {
	return len(c.routes)
}
