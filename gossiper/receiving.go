package gossiper

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Topic identifies the component that a request is for.
type Topic byte

// topic holds the handlers of the requests and responses of one topic.
type topic struct {
	name       string
	respond    func(now time.Time, request []byte) []byte
	onResponse func(now time.Time, response []byte)
}

// HandleTopic registers the name of a topic, under which its traffic is counted, and its
// handlers: answer returns the response to a request of another VM, or nil for none, and
// hear receives the responses to this VM's own requests. HandleTopic must be called
// before Run.
func (g *Gossiper) HandleTopic(t Topic, name string, answer func(now time.Time, request []byte) []byte, hear func(now time.Time, response []byte)) {
	g.topics[t] = topic{name: name, respond: answer, onResponse: hear}
}

// SendRequest sends a request of a topic to a VM. The request or its response may be lost.
func (g *Gossiper) SendRequest(to netip.AddrPort, t Topic, request []byte) {
	g.sendBody(g.clock.Now(), to, frameRequest, append([]byte{byte(t)}, request...))
}

// receive handles incoming datagrams until ctx is done.
func (g *Gossiper) receive(ctx context.Context) error {
	b := make([]byte, maxDatagramBytes)
	for {
		n, from, err := g.transport.Receive(b)
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err == nil && n > 0 {
			g.dispatch(g.clock.Now(), from, b[0], b[1:n])
		}
	}
}

// dispatch handles one datagram. A datagram that cannot be decoded is ignored.
func (g *Gossiper) dispatch(now time.Time, from netip.AddrPort, frame byte, b []byte) {
	size := 1 + len(b)
	var h header
	var sender profile
	var ok bool
	compact := frame == frameCompactMessage || frame == frameCompactDigest
	if compact {
		h, sender, b, ok = g.decodeCompact(from, b)
	} else {
		var err error
		b, err = cbor.UnmarshalFirst(b, &h)
		ok = err == nil
	}
	if !ok {
		return
	}
	g.counter.Received(g.purpose(frame, b), size)
	g.peerStamps.Add(now, from, h.Stamp)
	g.exchanges.hear(now, from, h.Known)
	composed := now
	age, dated := g.issuer.Age(now, h.Echo)
	if dated {
		composed = now.Add(-age)
	}
	switch frame {
	case frameMessage, frameCompactMessage:
		if m, ok := decodeMessage(b, compact, &sender); ok {
			m.setComposed(composed, dated)
			g.exchanges.learn(from, h.Stamp.ProcessID, h.Profile, &m)
			g.handleMessage(now, m, true)
		}
	case frameDigest, frameCompactDigest:
		if d, ok := decodeDigest(b, compact, &sender); ok {
			d.From.setComposed(composed, dated)
			g.exchanges.learn(from, h.Stamp.ProcessID, h.Profile, &d.From)
			g.handleDigest(now, &d)
		}
	case frameGreeting:
		var hello greeting
		if cbor.Unmarshal(b, &hello) == nil && hello.Seed.Address.IsValid() {
			g.mu.Lock()
			g.addSeed(now, hello.Name, hello.Seed)
			g.mu.Unlock()
		}
	case frameFullStateRequest:
		var request greeting
		if cbor.Unmarshal(b, &request) == nil {
			g.sendFullState(now, from, !request.KnowsGroups)
		}
	case frameRequest, frameResponse:
		if len(b) > 0 {
			g.handleTopic(now, from, frame, Topic(b[0]), b[1:])
		}
	}
}

// decodeCompact decodes the header of a compact message from a VM whose profile is known.
func (g *Gossiper) decodeCompact(from netip.AddrPort, b []byte) (h header, sender profile, rest []byte, ok bool) {
	c, rest, ok := decodeCompactHeader(b)
	if !ok {
		return h, sender, nil, false
	}
	process, sender, ok := g.exchanges.profile(from, c.profile)
	return c.header(process, g.process), sender, rest, ok
}

// decodeMessage decodes a message of either form.
func decodeMessage(b []byte, compact bool, sender *profile) (Message, bool) {
	if compact {
		var c compactMessage
		err := cbor.Unmarshal(b, &c)
		return c.message(sender), err == nil
	}
	var m Message
	err := cbor.Unmarshal(b, &m)
	return m, err == nil
}

// decodeDigest decodes a digest of either form.
func decodeDigest(b []byte, compact bool, sender *profile) (Digest, bool) {
	if compact {
		var c compactDigest
		err := cbor.Unmarshal(b, &c)
		return c.digest(sender), err == nil
	}
	var d Digest
	err := cbor.Unmarshal(b, &d)
	return d, err == nil
}

// handleTopic handles a request or response of a topic.
func (g *Gossiper) handleTopic(now time.Time, from netip.AddrPort, frame byte, about Topic, b []byte) {
	t, ok := g.topics[about]
	if !ok {
		return
	}
	if frame == frameResponse {
		t.onResponse(now, b)
		return
	}
	if a := t.respond(now, b); a != nil {
		g.sendBody(now, from, frameResponse, append([]byte{byte(about)}, a...))
	}
}

// handleMessage handles a message unless a later one of the same VM was received before.
// Only a VM that reports to this one is kept as a peer; the own message of any
// other relay is just passed to onMessage.
func (g *Gossiper) handleMessage(now time.Time, m Message, reports bool) {
	g.mu.Lock()
	p := g.peers[m.Name]
	stale := m.Name == g.name || (p != nil && p.isNewerThan(now, m))
	reply := false
	if !stale && reports {
		// A process that has just started should not wait for its first message.
		reply = p == nil || p.Incarnation != m.Incarnation
		g.roster.stale = g.roster.stale || p == nil || p.entry() != m.entry()
		g.peers[m.Name] = &Peer{Message: m, Heard: now}
	}
	large := g.isLarge()
	g.mu.Unlock()
	if stale {
		return
	}
	switch {
	case reply && large:
		g.SendNow()
	case reply:
		self := g.nextMessage(now, ToAll)
		g.sendBody(now, m.Address, frameMessage, encode(&self))
	}
	g.onMessage(now, m)
}

// handleDigest handles a digest of a relay.
func (g *Gossiper) handleDigest(now time.Time, d *Digest) {
	if d.From.Name == g.name {
		return
	}
	d.From.Relayed, d.From.FullState = true, len(d.Zones) > 0
	g.mu.Lock()
	s := g.relayStates[d.From.Name]
	if s == nil {
		s = &relayState{}
		g.relayStates[d.From.Name] = s
		g.roster.stale = true
	}
	wasContested := s.isContested()
	if s.apply(now, d) {
		g.roster.stale = true
	}
	nowContested := s.isContested() && !wasContested
	g.knowsGroups = g.knowsGroups || len(d.Zones) > 0 && len(d.From.Groups) > 0
	knowsGroups := g.knowsGroups
	ask := s.hash != d.Hash && now.Sub(s.requestedAt) >= fullStateInterval
	if ask {
		s.requestedAt = now
	}
	g.mu.Unlock()
	if ask {
		g.send(d.From.Address, frameFullStateRequest, greeting{Name: g.name, KnowsGroups: knowsGroups})
	}
	// A relay of the own availability zone is kept like a VM that reports here.
	g.handleMessage(now, d.From, d.From.AvailabilityZone == g.zone)
	g.receiveAttachment(now, d)
	if nowContested {
		g.SendNow()
	}
}

// sendFullState sends a VM the full state that it should have from this one, one datagram
// per availability zone, and with the first one the states of the groups if it needs them.
func (g *Gossiper) sendFullState(now time.Time, at netip.AddrPort, withGroups bool) {
	m := g.fullStateMessage(now, withGroups)
	g.mu.Lock()
	to := ToRelays
	if r := g.receivers(now, true); r.isReporter(at) {
		to = ToReporters
	}
	d := g.newDigest(now, to, m)
	out := g.outbox(to)
	d.Zones = out.zoneNames()
	sets := make([]ZoneEntries, 0, len(d.Zones))
	for _, zone := range d.Zones {
		sets = append(sets, out.zoneState(zone))
	}
	g.mu.Unlock()
	for _, s := range sets {
		d.Updates = []ZoneEntries{s}
		g.sendBody(now, at, frameDigest, encode(&d))
		d.From.Groups = nil
	}
}
