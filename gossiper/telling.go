package gossiper

import (
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// tell sends this VM's message to the others whose turn it is.
func (g *Gossiper) tell(urgent bool) {
	now := g.clock.Now()
	large := g.IsLarge()
	everyone := !large || urgent || now.Sub(g.toldFar) >= farInterval
	if everyone {
		g.toldFar = now
	}
	near, far := g.targets(now, large, everyone)
	g.spread(now, near, false)
	g.spread(now, far, true)
}

// targets returns the near VMs and, if everyone is told, the far ones. In a
// small fleet all are near.
func (g *Gossiper) targets(now time.Time, large, everyone bool) (near, far map[netip.AddrPort]bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	near, far = map[netip.AddrPort]bool{}, map[netip.AddrPort]bool{}
	for name, p := range g.peers {
		switch {
		case now.Sub(p.Heard) > goneAfter:
			delete(g.peers, name)
		case !large || p.AvailabilityZone == g.zone:
			near[p.Address] = true
		case everyone:
			far[p.Address] = true
		}
	}
	for name, s := range g.seeds {
		switch {
		case g.peers[name] != nil:
		case !large:
			near[s.address] = true
		case everyone:
			far[s.address] = true
		}
	}
	return near, far
}

// spread sends this VM's message to some others.
func (g *Gossiper) spread(now time.Time, targets map[netip.AddrPort]bool, far bool) {
	if len(targets) == 0 && far {
		return
	}
	m := g.compose(now, far)
	g.mu.Lock()
	g.sequence++
	m.Sequence = g.sequence
	g.self = m
	g.mu.Unlock()
	b, err := cbor.Marshal(m)
	if err != nil {
		panic(err)
	}
	for a := range targets {
		if a != m.Address {
			g.send(a, frameNews, b)
		}
	}
}

// The first byte of a datagram tells what follows.
const (
	frameNews byte = iota
	frameQuestion
	frameAnswer
)

// send sends one datagram. One that cannot be sent is as good as lost; silence tells.
func (g *Gossiper) send(to netip.AddrPort, frame byte, b []byte) {
	_ = g.transport.Send(to, append([]byte{frame}, b...))
}
