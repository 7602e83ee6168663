package gossiper

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/marigoldgauge/marigoldgauge/ranker"
)

const (
	// RelayDuty is the ranking key of the relays of an availability zone.
	RelayDuty = "speak"
	// relaysPerVM is the number of relays that a VM reports to, so that one may fail
	// without effect.
	relaysPerVM = 2
	// vmsPerRelay is the number of VMs of an availability zone for each of
	// which there is one more relay.
	vmsPerRelay = 32
	// tryTimeout is how long messages are sent to a VM as a relay without receiving one from
	// it.
	tryTimeout = silenceTimeout
	// retryAfter is the time after which such a VM is tried again.
	retryAfter = 10 * time.Second
)

// relays returns the names of the relays of an availability zone, including this
// VM if it is one. The result is shared and must not be modified. The caller must hold
// g.mu.
func (g *Gossiper) relays(now time.Time, zone string) []string {
	basis := relayBasis{seeds: g.seedChanges, attempts: g.attemptChanges}
	if z := g.currentRoster(now).zones[zone]; z != nil {
		basis.candidacy = z.candidacy
	}
	if zone == g.zone {
		basis.leaving, basis.capacity = g.self.Leaving, g.self.Capacity
	}
	c := g.relayLists[zone]
	if c == nil || c.basis != basis || (!c.validUntil.IsZero() && !now.Before(c.validUntil)) {
		c = &relayList{basis: basis}
		c.names = g.rankRelays(now, zone, c)
		g.relayLists[zone] = c
	}
	return c.names
}

// rankRelays returns the names of the relays of an availability zone, and sets the time
// until which they are valid. The caller must hold g.mu.
func (g *Gossiper) rankRelays(now time.Time, zone string, c *relayList) []string {
	var alive, silent []string
	if z := g.roster.zones[zone]; z != nil {
		for _, m := range z.members {
			switch {
			case m.Leaving:
			case m.alive:
				alive = append(alive, m.Name)
			case g.shouldTry(now, m.Name, c):
				silent = append(silent, m.Name)
			}
		}
	}
	for name, s := range g.seeds {
		if _, known := g.roster.known[name]; !known && s.AvailabilityZone == zone && g.shouldTry(now, name, c) {
			alive = append(alive, name)
		}
	}
	if len(alive) == 0 {
		// The relay that reported them is silent; they may still be alive.
		alive = silent
	}
	if zone == g.zone && !g.self.Leaving {
		alive = append(alive, g.name)
	}
	ranked := ranker.RankByClass(RelayDuty, alive, g.capacity)
	return ranked[:min(len(ranked), relaysPerVM+len(ranked)/vmsPerRelay)]
}

// capacity returns the capacity class of a VM. The caller must hold g.mu.
func (g *Gossiper) capacity(name string) uint8 {
	if name == g.name {
		return g.self.Capacity
	}
	if m := g.roster.known[name]; m != nil {
		return m.Capacity
	}
	if s := g.seeds[name]; s != nil {
		return s.Capacity
	}
	return 0
}

// Capacity returns the capacity class of a VM, zero if it is not known.
func (g *Gossiper) Capacity(name string) uint8 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.capacity(name)
}

// shouldTry reports whether a silent VM may still be alive and should be sent
// messages, and limits the validity of a list of relays to the time until that changes.
// The caller must hold g.mu.
func (g *Gossiper) shouldTry(now time.Time, name string, c *relayList) bool {
	tried, ok := g.triedAt[name]
	if !ok {
		return true
	}
	for _, change := range []time.Duration{tryTimeout, retryAfter + 1} {
		if at := tried.Add(change); now.Before(at) {
			c.limit(at)
		}
	}
	return now.Sub(tried) < tryTimeout || now.Sub(tried) > retryAfter
}

// recordAttempt records that a message is sent to a VM as a relay. The caller must hold g.mu.
func (g *Gossiper) recordAttempt(now time.Time, name string) {
	tried, ok := g.triedAt[name]
	if m := g.roster.known[name]; m != nil && m.alive {
		if ok {
			delete(g.triedAt, name)
			g.attemptChanges++
		}
		return
	}
	if !ok || now.Sub(tried) > retryAfter {
		g.triedAt[name] = now
		g.attemptChanges++
	}
}

// address returns the address at which a VM receives messages. The caller must hold
// g.mu.
func (g *Gossiper) address(name string) (netip.AddrPort, bool) {
	if m := g.roster.known[name]; m != nil {
		return m.Address, true
	}
	if s := g.seeds[name]; s != nil {
		return s.Address, true
	}
	return netip.AddrPort{}, false
}

// receivers holds the addresses that the messages of a round are sent to.
type receivers struct {
	// relays are the relays of the own availability zone that this VM reports to.
	// otherRelays, reporters, otherReporters and mergingReporters are the VMs to which a relay
	// sends digests, of which the last two need no votes and mergingReporters merge contested
	// groups.
	relays, otherRelays, reporters, otherReporters, mergingReporters map[netip.AddrPort]bool
	isRelay                                                          bool
}

// hasReporters reports whether any VM reports to this one.
func (r *receivers) hasReporters() bool {
	return len(r.reporters)+len(r.otherReporters)+len(r.mergingReporters) > 0
}

// isReporter reports whether the VM with an address reports to this one.
func (r *receivers) isReporter(at netip.AddrPort) bool {
	return r.reporters[at] || r.otherReporters[at] || r.mergingReporters[at]
}

// receivers returns the receivers of this round; with far set, including the relays
// of other availability zones. The caller must hold g.mu.
func (g *Gossiper) receivers(now time.Time, far bool) receivers {
	a := receivers{relays: map[netip.AddrPort]bool{}, otherRelays: map[netip.AddrPort]bool{}, reporters: map[netip.AddrPort]bool{}, otherReporters: map[netip.AddrPort]bool{}, mergingReporters: map[netip.AddrPort]bool{}}
	own := g.relays(now, g.zone)
	a.isRelay = slices.Contains(own, g.name)
	for _, p := range g.peers {
		if p.AvailabilityZone == g.zone && now.Sub(p.Heard) < expectTimeout && !slices.Contains(own, p.Name) {
			switch {
			case !p.SkipsVotes:
				a.reporters[p.Address] = true
			case p.MergesContested:
				a.mergingReporters[p.Address] = true
			default:
				a.otherReporters[p.Address] = true
			}
		}
	}
	if !a.isRelay {
		for _, name := range ranker.Rank("report/"+g.name, own)[:min(len(own), relaysPerVM)] {
			g.addReceiver(now, a.relays, name)
		}
	}
	if !a.isRelay && !a.hasReporters() {
		return a
	}
	for _, name := range own {
		g.addReceiver(now, a.otherRelays, name)
	}
	if far {
		g.addCrossZone(now, a.otherRelays)
	}
	return a
}

// addCrossZone adds the relays of the other availability zones: those that recently sent
// digests and those that the ranking selects. The caller must hold g.mu.
func (g *Gossiper) addCrossZone(now time.Time, to map[netip.AddrPort]bool) {
	zones := map[string]bool{}
	for zone := range g.seedZones() {
		zones[zone] = true
	}
	for zone := range g.currentRoster(now).zones {
		zones[zone] = true
	}
	delete(zones, g.zone)
	for _, s := range g.relayStates {
		if zones[s.from.AvailabilityZone] && s.reporting && s.fresh(now, g.zone) {
			to[s.from.Address] = true
		}
	}
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		for _, name := range g.relays(now, zone) {
			g.addReceiver(now, to, name)
		}
	}
}

// addReceiver adds the address of a VM other than this one. The caller must hold g.mu.
func (g *Gossiper) addReceiver(now time.Time, to map[netip.AddrPort]bool, name string) {
	if at, ok := g.address(name); ok && name != g.name {
		to[at] = true
		g.recordAttempt(now, name)
	}
}

// IsRelay reports whether this VM is a relay of its availability zone. In a small
// fleet every VM is.
func (g *Gossiper) IsRelay(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.isLarge() || slices.Contains(g.relays(now, g.zone), g.name)
}
