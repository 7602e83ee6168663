package gossiper

import (
	"hash/maphash"
	"maps"
	"slices"
	"strings"
	"time"
)

// maxRosterAge is the maximum age of the cached list of VMs.
const maxRosterAge = interval / 2

// minRosterAge is the minimum age at which the list of a large fleet is rebuilt after a
// change. When all VMs start, changes arrive hundreds of times a second.
const minRosterAge = 20 * time.Millisecond

// roster is the cached list of VMs. It is rebuilt only after a change or when it is
// older than maxRosterAge.
type roster struct {
	builtAt time.Time
	stale   bool
	// sorted holds the VMs of known in ascending order of name, unless unsorted is set.
	sorted   []*member
	unsorted bool
	// deletions counts the deletions from known.
	deletions uint64
	// zones holds the VMs of known by availability zone.
	zones map[string]*zoneRoster
	// generation counts the changes of the set of VMs that are alive and not leaving.
	generation uint64
	checksum   uint64
	// known holds all VMs that are not known to be gone, by name.
	known map[string]*member
	alive []Peer
	near  []Peer
}

// zoneRoster holds the VMs of an availability zone. candidacy is a hash of what decides
// which of them are relays.
type zoneRoster struct {
	members   []*member
	candidacy uint64
}

// member is a VM of the fleet. alive reports that a message of it, or an entry in a
// digest, was received recently, and bare that it is known only by its entry.
type member struct {
	Peer
	alive, bare bool
}

// currentRoster returns an up-to-date roster. The caller must hold g.mu.
func (g *Gossiper) currentRoster(now time.Time) *roster {
	r := &g.roster
	age := now.Sub(r.builtAt)
	if r.known == nil || age >= maxRosterAge || (r.stale && (age >= minRosterAge || !g.isLarge())) {
		g.rebuildRoster(now)
	}
	return r
}

// rebuildRoster rebuilds the roster. The caller must hold g.mu.
func (g *Gossiper) rebuildRoster(now time.Time) {
	r := &g.roster
	r.builtAt, r.stale = now, false
	if r.known == nil {
		r.known = map[string]*member{}
	}
	for _, m := range r.known {
		m.alive = false
	}
	for _, s := range g.relayStates {
		if s.fresh(now, g.zone) {
			r.merge(s, g.name)
		}
	}
	for _, s := range g.relayStates {
		r.addMessage(Peer{Message: s.from, Heard: s.heardAt}, s.fresh(now, g.zone))
	}
	for _, p := range g.peers {
		r.addMessage(*p, now.Sub(p.Heard) < silenceTimeout)
	}
	r.sort()
	// The lists of the previous roster may still be in use.
	r.alive, r.near = make([]Peer, 0, len(r.alive)), make([]Peer, 0, len(r.near))
	r.zones = make(map[string]*zoneRoster, len(r.zones))
	for _, m := range r.sorted {
		if now.Sub(m.Heard) > forgetTimeout {
			delete(r.known, m.Name)
			r.deletions++
			r.unsorted = true
			continue
		}
		r.addToZone(m)
		if m.alive {
			r.alive = append(r.alive, m.Peer)
			if m.AvailabilityZone == g.zone {
				r.near = append(r.near, m.Peer)
			}
		}
	}
	r.sort()
	if sum := checksum(r.alive); sum != r.checksum {
		r.checksum = sum
		r.generation++
	}
}

// merge adds the VMs in the digests of a relay.
func (r *roster) merge(s *relayState, self string) {
	if s.merged.hash != s.hash || s.merged.deletions != r.deletions || s.merged.entries == nil {
		s.merged = r.newMergedEntries(s, self)
	}
	for n := range s.merged.entries {
		e := &s.merged.entries[n]
		m := e.member
		if !m.bare || m.AvailabilityZone != e.zone || m.entry() != e.entry {
			r.add(Peer{Message: e.entry.message(e.zone), Heard: s.heardAt}, true, true)
			continue
		}
		m.alive = true
		if s.heardAt.After(m.Heard) {
			m.Heard = s.heardAt
		}
	}
}

// addMessage adds a VM's own message, which holds more than an entry.
func (r *roster) addMessage(p Peer, fresh bool) {
	r.add(p, fresh, false)
	if m := r.known[p.Name]; fresh && m.Incarnation <= p.Incarnation {
		m.Peer, m.bare = p, false
	}
}

// add adds a VM of which a message or, with bare set, an entry was received.
func (r *roster) add(p Peer, alive, bare bool) {
	m := r.known[p.Name]
	if m == nil {
		r.known[p.Name] = &member{Peer: p, alive: alive, bare: bare}
		r.unsorted = true
		return
	}
	m.alive = m.alive || alive
	if p.Heard.After(m.Heard) && (p.Incarnation >= m.Incarnation || alive) {
		m.Peer, m.bare = p, bare
	}
}

// sort updates sorted after VMs were added or deleted.
func (r *roster) sort() {
	if r.unsorted {
		r.unsorted = false
		r.sorted = slices.SortedFunc(maps.Values(r.known), func(a, b *member) int { return strings.Compare(a.Name, b.Name) })
	}
}

// addToZone adds a VM to its availability zone. VMs are added in ascending order of name.
func (r *roster) addToZone(m *member) {
	z := r.zones[m.AvailabilityZone]
	if z == nil {
		z = &zoneRoster{}
		r.zones[m.AvailabilityZone] = z
	}
	z.members = append(z.members, m)
	state := uint64(m.Capacity) << 2
	if m.alive {
		state |= 1
	}
	if m.Leaving {
		state |= 2
	}
	// An odd multiplier makes the hash depend on the order of the VMs.
	z.candidacy = z.candidacy*candidacyFactor + (maphash.String(checksumSeed, m.Name) ^ state)
}

// candidacyFactor is the multiplier of the hash of a zoneRoster.
const candidacyFactor = 0x9e3779b97f4a7c15

// checksumSeed is the hash seed that makes the checksums of one process comparable.
var checksumSeed = maphash.MakeSeed()

// checksum returns a hash of the names of the VMs that are alive and not leaving.
func checksum(alive []Peer) uint64 {
	var h maphash.Hash
	h.SetSeed(checksumSeed)
	for _, p := range alive {
		if !p.Leaving {
			_, _ = h.WriteString(p.Name)
			_ = h.WriteByte(0)
		}
	}
	return h.Sum64()
}

// Alive returns the other VMs that are not silent, in ascending order of name. The
// list is shared and must not be modified.
func (g *Gossiper) Alive(now time.Time) []Peer {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.currentRoster(now).alive
}

// AliveInZone returns the VMs of Alive that are in this VM's availability zone. The list
// is shared and must not be modified.
func (g *Gossiper) AliveInZone(now time.Time) []Peer {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.currentRoster(now).near
}

// Generation returns a number that changes whenever the set of VMs that are alive
// and not leaving changes.
func (g *Gossiper) Generation(now time.Time) uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.currentRoster(now).generation
}

// Known returns the other VMs that are not known to be gone, in ascending order of name.
func (g *Gossiper) Known(now time.Time) []Peer {
	g.mu.Lock()
	defer g.mu.Unlock()
	known := g.currentRoster(now).known
	out := make([]Peer, 0, len(known))
	for _, p := range known {
		out = append(out, p.Peer)
	}
	slices.SortFunc(out, func(a, b Peer) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// VMCounts returns the number of other VMs that are not known to be gone, and of those
// that are not silent.
func (g *Gossiper) VMCounts(now time.Time) (known, alive int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.currentRoster(now)
	return len(r.known), len(r.alive)
}

// FleetSize returns the number of VMs that are alive, this one included, and of
// their availability zones.
func (g *Gossiper) FleetSize(now time.Time) (vms, zones int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.currentRoster(now)
	seen := map[string]bool{g.zone: true}
	for _, p := range r.alive {
		seen[p.AvailabilityZone] = true
	}
	return len(r.alive) + 1, len(seen)
}

// Members returns all other VMs that are registered or from which messages were
// received recently, including silent ones.
func (g *Gossiper) Members(now time.Time) []Peer {
	out := g.Known(now)
	g.mu.Lock()
	defer g.mu.Unlock()
	for name, s := range g.seeds {
		if _, ok := g.roster.known[name]; !ok {
			out = append(out, Peer{Message: Message{Name: name, Address: s.Address, AvailabilityZone: s.AvailabilityZone, Capacity: s.Capacity}})
		}
	}
	return out
}

// IsLarge reports whether the fleet counts as large.
func (g *Gossiper) IsLarge() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.isLarge()
}

// isLarge reports whether the fleet counts as large. The caller must hold g.mu.
func (g *Gossiper) isLarge() bool {
	return len(g.seeds) >= LargeFleet || len(g.peers) >= LargeFleet || len(g.roster.known) >= LargeFleet
}
