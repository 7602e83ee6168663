package gossiper

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/marigoldgauge/marigoldgauge/placer"
)

const (
	// SpeakDuty names the duty of speaking for an availability zone for the ranking of VMs.
	SpeakDuty = "speak"
	// reportTo is the number of speakers that a VM reports to: one may fail unnoticed.
	reportTo = 2
	// reportersPerSpeaker is the number of VMs of an availability zone for which
	// there is one speaker more.
	reportersPerSpeaker = 32
	// tryFor is how long a VM is sent messages as a speaker without being heard.
	tryFor = silentAfter
	// tryAgain is when a VM that was not heard is tried once more.
	tryAgain = 10 * time.Second
)

// speakers returns the VMs that speak for an availability zone, this one
// included if it does. The lock is held.
func (g *Gossiper) speakers(now time.Time, zone string) []string {
	var alive, silent []string
	for name, m := range g.current(now).known {
		switch {
		case m.AvailabilityZone != zone || m.Leaving:
		case m.alive:
			alive = append(alive, name)
		case g.worthTrying(now, name):
			silent = append(silent, name)
		}
	}
	for name, s := range g.seeds {
		if _, known := g.roster.known[name]; !known && s.AvailabilityZone == zone && g.worthTrying(now, name) {
			alive = append(alive, name)
		}
	}
	if len(alive) == 0 {
		// Whoever told of them is silent; they may be well.
		alive = silent
	}
	if zone == g.zone && !g.self.Leaving {
		alive = append(alive, g.name)
	}
	ranked := placer.Rank(SpeakDuty, alive)
	return ranked[:min(len(ranked), reportTo+len(ranked)/reportersPerSpeaker)]
}

// worthTrying reports whether a VM that is not heard may yet be there. The lock is held.
func (g *Gossiper) worthTrying(now time.Time, name string) bool {
	tried, ok := g.tried[name]
	return !ok || now.Sub(tried) < tryFor || now.Sub(tried) > tryAgain
}

// try notes that a VM is sent a message as a speaker. The lock is held.
func (g *Gossiper) try(now time.Time, name string) {
	if m := g.roster.known[name]; m != nil && m.alive {
		delete(g.tried, name)
		return
	}
	if tried, ok := g.tried[name]; !ok || now.Sub(tried) > tryAgain {
		g.tried[name] = now
	}
}

// address returns where a VM takes messages. The lock is held.
func (g *Gossiper) address(name string) (netip.AddrPort, bool) {
	if m := g.roster.known[name]; m != nil {
		return m.Address, true
	}
	if s := g.seeds[name]; s != nil {
		return s.Address, true
	}
	return netip.AddrPort{}, false
}

// audiences are the VMs that a message goes to.
type audiences struct {
	// reports go to the speakers of the own availability zone; directs are what
	// speakers tell each other, and alls what they tell their reporters.
	reports, directs, alls map[netip.AddrPort]bool
	speaks                 bool
}

// audiences returns whose turn it is. The lock is held.
func (g *Gossiper) audiences(now time.Time, far bool) audiences {
	a := audiences{reports: map[netip.AddrPort]bool{}, directs: map[netip.AddrPort]bool{}, alls: map[netip.AddrPort]bool{}}
	own := g.speakers(now, g.zone)
	a.speaks = slices.Contains(own, g.name)
	for _, p := range g.peers {
		if p.AvailabilityZone == g.zone && now.Sub(p.Heard) < expectFor && !slices.Contains(own, p.Name) {
			a.alls[p.Address] = true
		}
	}
	if !a.speaks {
		for _, name := range placer.Rank("report/"+g.name, own)[:min(len(own), reportTo)] {
			g.add(now, a.reports, name)
		}
	}
	if !a.speaks && len(a.alls) == 0 {
		return a
	}
	for _, name := range own {
		g.add(now, a.directs, name)
	}
	if far {
		g.addFar(now, a.directs)
	}
	return a
}

// addFar adds the speakers of the other availability zones: those that spoke of
// late, or else those that should. The lock is held.
func (g *Gossiper) addFar(now time.Time, to map[netip.AddrPort]bool) {
	zones := map[string]bool{}
	for _, s := range g.seeds {
		zones[s.AvailabilityZone] = true
	}
	for _, m := range g.roster.known {
		zones[m.AvailabilityZone] = true
	}
	delete(zones, g.zone)
	for _, s := range g.sources {
		if zones[s.from.AvailabilityZone] && s.direct && s.fresh(now, g.zone) {
			to[s.from.Address] = true
		}
	}
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		for _, name := range g.speakers(now, zone) {
			g.add(now, to, name)
		}
	}
}

// add adds a VM to an audience. The lock is held.
func (g *Gossiper) add(now time.Time, to map[netip.AddrPort]bool, name string) {
	if at, ok := g.address(name); ok && name != g.name {
		to[at] = true
		g.try(now, name)
	}
}

// Speaks reports whether this VM speaks for its availability zone; in a small
// fleet each does.
func (g *Gossiper) Speaks(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.large() || slices.Contains(g.speakers(now, g.zone), g.name)
}
