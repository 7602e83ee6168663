package gossiper

import (
	"hash/maphash"
	"maps"
	"slices"
	"strings"
	"time"
)

// rosterAge is how old the list of VMs may be that is handed out.
const rosterAge = interval / 2

// roster is who is there, worked out anew only after a change or a while.
type roster struct {
	at    time.Time
	stale bool
	// generation counts the changes of who is alive and stays.
	generation uint64
	sum        uint64
	// known are all VMs that are not known to be gone, by name.
	known map[string]*member
	alive []Peer
	near  []Peer
}

// member is a VM of the fleet; alive reports that it was heard, or told of, a
// moment ago.
type member struct {
	Peer
	alive bool
}

// current returns the roster. The lock is held.
func (g *Gossiper) current(now time.Time) *roster {
	r := &g.roster
	if r.known == nil || r.stale || now.Sub(r.at) >= rosterAge {
		g.rebuild(now)
	}
	return r
}

// rebuild works the roster out. The lock is held.
func (g *Gossiper) rebuild(now time.Time) {
	r := &g.roster
	r.at, r.stale = now, false
	if r.known == nil {
		r.known = map[string]*member{}
	}
	for _, m := range r.known {
		m.alive = false
	}
	for _, s := range g.sources {
		if s.fresh(now, g.zone) {
			r.merge(s, g.name)
		}
	}
	for _, s := range g.sources {
		r.noteOwn(Peer{Message: s.from, Heard: s.heard}, s.fresh(now, g.zone))
	}
	for _, p := range g.peers {
		r.noteOwn(*p, now.Sub(p.Heard) < silentAfter)
	}
	r.alive, r.near = nil, nil
	for _, name := range slices.Sorted(maps.Keys(r.known)) {
		m := r.known[name]
		switch {
		case now.Sub(m.Heard) > goneAfter:
			delete(r.known, name)
		case m.alive && m.AvailabilityZone == g.zone:
			r.near = append(r.near, m.Peer)
			fallthrough
		case m.alive:
			r.alive = append(r.alive, m.Peer)
		}
	}
	if sum := checksum(r.alive); sum != r.sum {
		r.sum = sum
		r.generation++
	}
}

// merge adds the VMs that a speaker tells of.
func (r *roster) merge(s *source, self string) {
	for zone, entries := range s.zones {
		for name, e := range entries {
			if name != self {
				r.note(Peer{Message: e.message(zone), Heard: s.heard}, true)
			}
		}
	}
}

// noteOwn notes a VM's own message, which tells more than an entry.
func (r *roster) noteOwn(p Peer, fresh bool) {
	r.note(p, fresh)
	if m := r.known[p.Name]; fresh && m.Incarnation <= p.Incarnation {
		m.Peer = p
	}
}

// note notes that a VM was heard, or told of.
func (r *roster) note(p Peer, alive bool) {
	m := r.known[p.Name]
	if m == nil {
		r.known[p.Name] = &member{Peer: p, alive: alive}
		return
	}
	m.alive = m.alive || alive
	if p.Heard.After(m.Heard) && (p.Incarnation >= m.Incarnation || alive) {
		m.Peer = p
	}
}

// seedOfSums makes the sums of one process comparable.
var seedOfSums = maphash.MakeSeed()

// checksum sums up who is alive and stays.
func checksum(alive []Peer) uint64 {
	var h maphash.Hash
	h.SetSeed(seedOfSums)
	for _, p := range alive {
		if !p.Leaving {
			_, _ = h.WriteString(p.Name)
			_ = h.WriteByte(0)
		}
	}
	return h.Sum64()
}

// Alive returns the other VMs that were heard a moment ago, in ascending order
// of name. The list is shared and must not be changed.
func (g *Gossiper) Alive(now time.Time) []Peer {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.current(now).alive
}

// Near returns those of them in this VM's availability zone.
func (g *Gossiper) Near(now time.Time) []Peer {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.current(now).near
}

// Generation returns a number that changes whenever another set of VMs is alive
// and stays.
func (g *Gossiper) Generation(now time.Time) uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.current(now).generation
}

// Known returns the other VMs that are not known to be gone, in ascending order of name.
func (g *Gossiper) Known(now time.Time) []Peer {
	g.mu.Lock()
	defer g.mu.Unlock()
	known := g.current(now).known
	out := make([]Peer, 0, len(known))
	for _, p := range known {
		out = append(out, p.Peer)
	}
	slices.SortFunc(out, func(a, b Peer) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// Count returns the number of other VMs that are not known to be gone, and of
// those that were heard a moment ago.
func (g *Gossiper) Count(now time.Time) (known, alive int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.current(now)
	return len(r.known), len(r.alive)
}

// Size returns the number of VMs that are alive, this one included, and of
// their availability zones.
func (g *Gossiper) Size(now time.Time) (vms, zones int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.current(now)
	seen := map[string]bool{g.zone: true}
	for _, p := range r.alive {
		seen[p.AvailabilityZone] = true
	}
	return len(r.alive) + 1, len(seen)
}

// Members returns all VMs that belong to the fleet or were heard of late, also
// those that are silent.
func (g *Gossiper) Members(now time.Time) []Peer {
	out := g.Known(now)
	g.mu.Lock()
	defer g.mu.Unlock()
	for name, s := range g.seeds {
		if _, ok := g.roster.known[name]; !ok {
			out = append(out, Peer{Message: Message{Name: name, Address: s.Address, AvailabilityZone: s.AvailabilityZone}})
		}
	}
	return out
}

// IsLarge reports whether the fleet counts as large.
func (g *Gossiper) IsLarge() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.large()
}

// large reports whether the fleet counts as large. The lock is held.
func (g *Gossiper) large() bool {
	return len(g.seeds) >= Large || len(g.peers) >= Large || len(g.roster.known) >= Large
}
