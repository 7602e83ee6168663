// Package cataloguer holds the configuration that is in force: routes, groups,
// organisations and their keys. It never goes back a version.
package cataloguer

import "time"

// Catalogue is one version of the configuration. It is not changed after New.
type Catalogue struct {
	// Version is the version number of the operator.
	Version uint64
	// TransactionIdle is how long a transaction may rest before it is rolled back.
	TransactionIdle time.Duration
	// Groups are the groups by name.
	Groups map[string]Group
	// Organisations are the organisations by name.
	Organisations map[string]Organisation

	routes map[string]Route
	keys   map[string]string
}

// New indexes a configuration.
func New(version uint64, idle time.Duration, routes []Route, groups []Group, organisations []Organisation) *Catalogue {
	c := &Catalogue{
		Version: version, TransactionIdle: idle,
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

// Owner returns the organisation that holds a key.
func (c *Catalogue) Owner(key string) (Organisation, bool) {
	name, ok := c.keys[key]
	if !ok {
		return Organisation{}, false
	}
	return c.Organisations[name], true
}

// Databases returns the number of routes.
func (c *Catalogue) Databases() int {
	return len(c.routes)
}
