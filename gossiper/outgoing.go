package gossiper

import (
	"net/netip"
	"sync"
	"time"
)

// outgoing is a message or a digest for several receivers. It is encoded at most once in
// each of its two forms.
type outgoing struct {
	// profile is the ID of the profile of the message.
	profile uint32
	// frame and full are the frame type and the body for receivers that have not
	// acknowledged the profile, compactFrame and compact those for receivers that have.
	frame, compactFrame byte
	full, compact       func() []byte
}

// newOutgoingMessage returns a message to send.
func (g *Gossiper) newOutgoingMessage(m *Message) *outgoing {
	return &outgoing{
		profile: g.exchanges.ownID(m.profile()), frame: frameMessage, compactFrame: frameCompactMessage,
		full:    sync.OnceValue(func() []byte { return encode(m) }),
		compact: sync.OnceValue(func() []byte { return encode(m.compact()) }),
	}
}

// newOutgoingDigest returns a digest to send, which is not a full one.
func (g *Gossiper) newOutgoingDigest(d *Digest) *outgoing {
	return &outgoing{
		profile: g.exchanges.ownID(d.From.profile()), frame: frameDigest, compactFrame: frameCompactDigest,
		full:    sync.OnceValue(func() []byte { return encode(d) }),
		compact: sync.OnceValue(func() []byte { return encode(d.compact()) }),
	}
}

// sendToAll sends a message or a digest to several VMs.
func (g *Gossiper) sendToAll(now time.Time, o *outgoing, to map[netip.AddrPort]bool) {
	for at := range to {
		h := g.newHeader(now, at)
		h.Profile = o.profile
		if g.exchanges.acknowledges(now, at, o.profile) {
			c := h.compact()
			g.sendDatagram(at, o.compactFrame, c.encode(), o.compact())
		} else {
			g.sendDatagram(at, o.frame, encode(&h), o.full())
		}
	}
}

// newHeader returns the header of a datagram to a VM.
func (g *Gossiper) newHeader(now time.Time, to netip.AddrPort) header {
	h := header{Stamp: g.issuer.Issue(now), Known: g.exchanges.known(to)}
	h.Echo, _ = g.peerStamps.Advanced(now, to)
	return h
}

// sendDatagram sends one datagram. Send errors are ignored like lost datagrams: the
// receiver then counts this VM as silent.
func (g *Gossiper) sendDatagram(to netip.AddrPort, frame byte, header, body []byte) {
	b := make([]byte, 0, 1+len(header)+len(body))
	b = append(append(append(b, frame), header...), body...)
	g.counter.Sent(g.purpose(frame, body), len(b))
	_ = g.transport.Send(to, b)
}
