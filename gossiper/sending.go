package gossiper

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/marigoldgauge/marigoldgauge/timestamper"
)

// The first byte of a datagram is its frame type.
const (
	frameMessage byte = iota
	frameRequest
	frameResponse
	frameDigest
	frameGreeting
	frameFullStateRequest
	// frameCompactMessage and frameCompactDigest precede the messages and digests for
	// receivers that have acknowledged the profile of the sender.
	frameCompactMessage
	frameCompactDigest
)

// header precedes each message, so that the receiver can determine its age.
type header struct {
	// Stamp is a timestamp by the clock of the sender, and Echo returns one by the
	// clock of the receiver.
	Stamp timestamper.Timestamp `cbor:"1,keyasint"`
	Echo  timestamper.Timestamp `cbor:"2,keyasint"`
	// Profile is the ID of the profile of the message that follows, and Known the ID of the
	// receiver's profile that the sender knows: it reads compact messages with that profile.
	// A process that sets none neither reads nor sends them.
	Profile uint32 `cbor:"3,keyasint,omitempty"`
	Known   uint32 `cbor:"4,keyasint,omitempty"`
}

// sendRound sends this VM's message to the receivers of this round.
func (g *Gossiper) sendRound(now time.Time, urgent bool) {
	if !g.IsLarge() {
		m := g.nextMessage(now, ToAll)
		g.mu.Lock()
		g.deleteSilent(now)
		everyone := g.allAddresses()
		g.mu.Unlock()
		g.sendToAll(now, g.newOutgoingMessage(&m), everyone)
		return
	}
	report := g.nextMessage(now, ToOwnRelays)
	g.mu.Lock()
	g.deleteSilent(now)
	if !urgent {
		g.rounds++
	}
	a := g.receivers(now, urgent || g.rounds%crossZoneRounds == 0)
	g.mu.Unlock()
	if len(a.relays) > 0 {
		g.sendToAll(now, g.newOutgoingMessage(&report), a.relays)
	}
	if len(a.otherRelays) > 0 {
		d := g.nextDigest(now, ToRelays)
		g.sendToAll(now, g.newOutgoingDigest(&d), a.otherRelays)
	}
	if a.hasReporters() {
		d := g.nextDigest(now, ToReporters)
		g.attach(now, &d)
		g.sendToAll(now, g.newOutgoingDigest(&d), a.reporters)
		d.Votes, d.Contested = nil, contestedGroups(d.Votes)
		g.sendToAll(now, g.newOutgoingDigest(&d), a.otherReporters)
		merged := g.mergedContested(d, urgent)
		g.sendToAll(now, g.newOutgoingDigest(&merged), a.mergingReporters)
	}
}

// mergedContested returns a digest for the VMs that merge contested groups. One that is sent ahead
// of the interval names only those that the last other one lacks: while many primaries are lost,
// such digests follow each other closely.
func (g *Gossiper) mergedContested(d Digest, urgent bool) Digest {
	if !urgent {
		g.sentContested = d.Contested
		return d
	}
	d.PartialContested = true
	d.Contested = slices.DeleteFunc(slices.Clone(d.Contested), func(group string) bool {
		_, sent := slices.BinarySearch(g.sentContested, group)
		return sent
	})
	return d
}

// contestedGroups returns the groups that have votes, in ascending order.
func contestedGroups(votes []VoteCount) []string {
	var out []string
	for _, v := range votes {
		if v.Unreachable > 0 {
			out = append(out, v.Group)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// nextMessage composes this VM's next message.
func (g *Gossiper) nextMessage(now time.Time, to Audience) Message {
	m := g.compose(now, to)
	if m.Votes == nil {
		m.Votes = m.Groups
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sequence++
	m.Sequence, m.MergesContested = g.sequence, true
	g.self = m
	return m
}

// deleteSilent deletes the VMs from which nothing was received for forgetTimeout. The caller
// must hold g.mu.
func (g *Gossiper) deleteSilent(now time.Time) {
	for name, p := range g.peers {
		if now.Sub(p.Heard) > forgetTimeout {
			delete(g.peers, name)
		}
	}
	for name, s := range g.relayStates {
		if now.Sub(s.heardAt) > forgetTimeout {
			delete(g.relayStates, name)
		}
	}
	g.exchanges.deleteSilent(now)
}

// allAddresses returns the addresses of all other VMs of a small fleet. The caller must
// hold g.mu.
func (g *Gossiper) allAddresses() map[netip.AddrPort]bool {
	out := map[netip.AddrPort]bool{}
	for _, p := range g.peers {
		out[p.Address] = true
	}
	for name, s := range g.seeds {
		if g.peers[name] == nil {
			out[s.Address] = true
		}
	}
	return out
}

// nextDigest returns the next digest for the relays or the reporters.
func (g *Gossiper) nextDigest(now time.Time, to Audience) Digest {
	m := g.nextMessage(now, to)
	g.mu.Lock()
	defer g.mu.Unlock()
	d := g.newDigest(now, to, m)
	d.Updates = g.outbox(to).nextChanges()
	return d
}

// newDigest returns a digest without entries. The caller must hold g.mu.
func (g *Gossiper) newDigest(now time.Time, to Audience, m Message) Digest {
	g.updateEntries(now)
	d := Digest{From: m, Direct: to == ToRelays, Hash: g.outbox(to).hash, Votes: g.ownVotes(now)}
	if !d.Direct {
		d.Votes = append(d.Votes, g.relayedVotes(now, func(VoteCount) bool { return true })...)
	}
	return d
}

// outbox returns the entries sent to the relays or the reporters. The caller must hold
// g.mu.
func (g *Gossiper) outbox(to Audience) *outbox {
	if to == ToRelays {
		return &g.changes.reporting
	}
	return &g.changes.all
}

// updateEntries updates the entries that this VM sends, for the availability zones in
// which something has changed. The caller must hold g.mu.
func (g *Gossiper) updateEntries(now time.Time) {
	c := &g.changes
	changed := map[string]bool{}
	if own := g.ownEntries(now); !maps.Equal(own, c.own) {
		c.own = own
		c.reporting.updateZone(g.zone, own)
		changed[g.zone] = true
	}
	sources := make(map[string]source, len(c.sources))
	for name, s := range g.relayStates {
		if !s.reporting || !s.fresh(now, g.zone) {
			continue
		}
		before, ok := c.sources[name]
		if ok && before.hash == s.hash {
			sources[name] = before
			continue
		}
		sources[name] = source{hash: s.hash, zones: slices.Collect(maps.Keys(s.zones))}
		for _, zone := range slices.Concat(before.zones, sources[name].zones) {
			changed[zone] = true
		}
	}
	for name, before := range c.sources {
		if _, ok := sources[name]; !ok {
			for _, zone := range before.zones {
				changed[zone] = true
			}
		}
	}
	c.sources = sources
	for zone := range changed {
		c.all.updateZone(zone, g.zoneEntries(zone))
	}
}

// ownEntries returns the entries of this VM and of the VMs that report to it. The caller
// must hold g.mu.
func (g *Gossiper) ownEntries(now time.Time) map[string]Entry {
	own := map[string]Entry{}
	if g.self.Name != "" {
		own[g.name] = g.self.entry()
	}
	for name, p := range g.peers {
		if p.AvailabilityZone == g.zone && now.Sub(p.Heard) < silenceTimeout {
			own[name] = p.entry()
		}
	}
	return own
}

// zoneEntries returns the entries of an availability zone from the sources of g.changes.
// The caller must hold g.mu.
func (g *Gossiper) zoneEntries(zone string) map[string]Entry {
	all := map[string]Entry{}
	if zone == g.zone {
		maps.Copy(all, g.changes.own)
	}
	for relay := range g.changes.sources {
		for name, e := range g.relayStates[relay].zones[zone] {
			if old, ok := all[name]; !ok || old.Incarnation < e.Incarnation {
				all[name] = e
			}
		}
	}
	return all
}

// send sends a message to a VM.
func (g *Gossiper) send(to netip.AddrPort, frame byte, v any) {
	g.sendBody(g.clock.Now(), to, frame, encode(v))
}

// sendBody sends one datagram whose body has no profile that the receiver should know.
func (g *Gossiper) sendBody(now time.Time, to netip.AddrPort, frame byte, body []byte) {
	h := g.newHeader(now, to)
	g.sendDatagram(to, frame, encode(&h), body)
}
