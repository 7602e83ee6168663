// Package authorizer tracks the API keys on which running work is based, and ends the permission
// of that work as soon as a configuration takes its key away: the key is removed, its organisation
// is removed, or it now belongs to another organisation.
package authorizer

import (
	"sync"
	"sync/atomic"

	"github.com/marigoldgauge/marigoldgauge/cataloguer"
)

// Authorizer grants permissions by the configuration in force. It is safe for concurrent use.
type Authorizer struct {
	mu        sync.Mutex
	catalogue *cataloguer.Catalogue
	// grants holds the grants that have not ended, by key.
	grants map[string]map[*Grant]struct{}
	ended  atomic.Uint64
}

// New returns an Authorizer without a configuration.
func New() *Authorizer {
	return &Authorizer{grants: map[string]map[*Grant]struct{}{}}
}

// Grant returns a Grant for a claim. It has ended already if the configuration does not confirm
// the claim. A claim without an organisation depends on no key and returns nil.
func (a *Authorizer) Grant(c Claim) *Grant {
	if c.Organisation == "" {
		return nil
	}
	g := newGrant(a, c)
	a.mu.Lock()
	held := c.heldBy(a.catalogue)
	if held {
		if a.grants[c.Key] == nil {
			a.grants[c.Key] = map[*Grant]struct{}{}
		}
		a.grants[c.Key][g] = struct{}{}
	}
	a.mu.Unlock()
	if !held {
		g.end()
	}
	return g
}

// Apply puts a configuration in force, unless it is older than the present one, ends the grants
// that it does not confirm, and returns their number.
func (a *Authorizer) Apply(c *cataloguer.Catalogue) (ended int) {
	var gone []*Grant
	a.mu.Lock()
	if a.catalogue == nil || a.catalogue.Version < c.Version {
		a.catalogue = c
		gone = a.takeUnconfirmed()
	}
	a.mu.Unlock()
	a.ended.Add(uint64(len(gone)))
	for _, g := range gone {
		g.end()
	}
	return len(gone)
}

// Ended returns the number of grants that configurations have ended.
func (a *Authorizer) Ended() uint64 { return a.ended.Load() }

// takeUnconfirmed removes and returns the grants that the configuration does not confirm. It looks
// at all of them, since a claim that was checked in a later configuration than the last one may
// rely on a key that neither of the last two has. The caller holds the lock.
func (a *Authorizer) takeUnconfirmed() (gone []*Grant) {
	for key, grants := range a.grants {
		for g := range grants {
			if !g.claim.heldBy(a.catalogue) {
				gone = append(gone, g)
				delete(grants, g)
			}
		}
		if len(grants) == 0 {
			delete(a.grants, key)
		}
	}
	return gone
}

// remove removes a grant that is not needed any more.
func (a *Authorizer) remove(g *Grant) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.grants[g.claim.Key], g)
	if len(a.grants[g.claim.Key]) == 0 {
		delete(a.grants, g.claim.Key)
	}
}
