package gossiper

import (
	"net/netip"
	"time"

	"github.com/marigoldgauge/marigoldgauge/dater"
)

// The first byte of a datagram tells what follows.
const (
	frameNews byte = iota
	frameQuestion
	frameAnswer
	frameDigest
	frameGreeting
	frameAsk
)

// header goes before each message, so that its receiver can tell how old it is.
type header struct {
	// Stamp is the time by the clock of the sender, and Echo by that of the receiver.
	Stamp dater.Stamp `cbor:"1,keyasint"`
	Echo  dater.Stamp `cbor:"2,keyasint"`
}

// tell sends this VM's message to the others whose turn it is.
func (g *Gossiper) tell(now time.Time, urgent bool) {
	if !g.IsLarge() {
		m := g.write(now, Everyone)
		g.mu.Lock()
		g.forget(now)
		everyone := g.everyone()
		g.mu.Unlock()
		g.spread(now, frameNews, encode(&m), everyone)
		return
	}
	report := g.write(now, Speaker)
	g.mu.Lock()
	g.forget(now)
	if !urgent {
		g.rounds++
	}
	a := g.audiences(now, urgent || g.rounds%farEvery == 0)
	g.mu.Unlock()
	if len(a.reports) > 0 {
		g.spread(now, frameNews, encode(&report), a.reports)
	}
	if len(a.directs) > 0 {
		d := g.digest(now, Speakers)
		g.spread(now, frameDigest, encode(&d), a.directs)
	}
	if len(a.alls) > 0 {
		d := g.digest(now, Reporters)
		g.spread(now, frameDigest, encode(&d), a.alls)
	}
}

// write writes this VM's message.
func (g *Gossiper) write(now time.Time, to Audience) Message {
	m := g.compose(now, to)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sequence++
	m.Sequence = g.sequence
	g.self = m
	return m
}

// forget drops the VMs that were not heard for long. The lock is held.
func (g *Gossiper) forget(now time.Time) {
	for name, p := range g.peers {
		if now.Sub(p.Heard) > goneAfter {
			delete(g.peers, name)
		}
	}
	for name, s := range g.sources {
		if now.Sub(s.heard) > goneAfter {
			delete(g.sources, name)
		}
	}
}

// everyone returns all VMs of a small fleet. The lock is held.
func (g *Gossiper) everyone() map[netip.AddrPort]bool {
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

// digest returns the changes that speakers, or reporters, are told.
func (g *Gossiper) digest(now time.Time, to Audience) Digest {
	m := g.write(now, to)
	g.mu.Lock()
	defer g.mu.Unlock()
	d := g.outline(now, to, m)
	d.Sets = g.told(to).next()
	return d
}

// outline returns a digest without VMs. The lock is held.
func (g *Gossiper) outline(now time.Time, to Audience, m Message) Digest {
	g.refresh(now)
	d := Digest{From: m, Direct: to == Speakers, Hash: g.told(to).hash, Tallies: g.ownTallies(now)}
	if !d.Direct {
		d.Tallies = append(d.Tallies, g.farTallies(now)...)
	}
	return d
}

// told returns what was told to an audience. The lock is held.
func (g *Gossiper) told(to Audience) *audience {
	if to == Speakers {
		return &g.changes.direct
	}
	return &g.changes.all
}

// refresh brings what this VM tells up to date. The lock is held.
func (g *Gossiper) refresh(now time.Time) {
	own := map[string]Entry{}
	if g.self.Name != "" {
		own[g.name] = g.self.entry()
	}
	for name, p := range g.peers {
		if p.AvailabilityZone == g.zone && now.Sub(p.Heard) < silentAfter {
			own[name] = p.entry()
		}
	}
	g.changes.direct.update(map[string]map[string]Entry{g.zone: own})
	all := map[string]map[string]Entry{g.zone: own}
	for _, s := range g.sources {
		if !s.direct || !s.fresh(now, g.zone) {
			continue
		}
		for zone, entries := range s.zones {
			have := all[zone]
			if have == nil {
				have = map[string]Entry{}
				all[zone] = have
			}
			for name, e := range entries {
				if old, ok := have[name]; !ok || old.Incarnation < e.Incarnation {
					have[name] = e
				}
			}
		}
	}
	g.changes.all.update(all)
}

// spread sends a message to some others.
func (g *Gossiper) spread(now time.Time, frame byte, body []byte, to map[netip.AddrPort]bool) {
	for at := range to {
		g.sendBody(now, at, frame, body)
	}
}

// send sends a message to a VM.
func (g *Gossiper) send(to netip.AddrPort, frame byte, v any) {
	g.sendBody(g.clock.Now(), to, frame, encode(v))
}

// sendBody sends one datagram. One that cannot be sent is as good as lost; silence tells.
func (g *Gossiper) sendBody(now time.Time, to netip.AddrPort, frame byte, body []byte) {
	h := header{Stamp: g.issuer.Issue(now)}
	h.Echo, _ = g.stamps.Present(now, to)
	b := append([]byte{frame}, encode(&h)...)
	_ = g.transport.Send(to, append(b, body...))
}
