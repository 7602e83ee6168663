package gossiper

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Topic tells questions of different parts apart.
type Topic byte

// topic is who answers the questions about one topic, and hears the answers.
type topic struct {
	answer func(now time.Time, question []byte) []byte
	hear   func(now time.Time, answer []byte)
}

// Handle lets answer reply to the questions of other VMs about a topic, and hear
// take the answers to this VM's. It is called before Run.
func (g *Gossiper) Handle(t Topic, answer func(now time.Time, question []byte) []byte, hear func(now time.Time, answer []byte)) {
	g.topics[t] = topic{answer: answer, hear: hear}
}

// Ask sends a question about a topic to a VM; the answer may never come.
func (g *Gossiper) Ask(to netip.AddrPort, t Topic, question []byte) {
	g.sendBody(g.clock.Now(), to, frameQuestion, append([]byte{byte(t)}, question...))
}

// receive takes the messages of the others until ctx ends.
func (g *Gossiper) receive(ctx context.Context) error {
	b := make([]byte, maxMessage)
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

// dispatch takes one datagram; one that is not understood is passed over.
func (g *Gossiper) dispatch(now time.Time, from netip.AddrPort, frame byte, b []byte) {
	var h header
	b, err := cbor.UnmarshalFirst(b, &h)
	if err != nil {
		return
	}
	g.stamps.Take(now, from, h.Stamp)
	composed := now
	age, dated := g.issuer.Age(now, h.Echo)
	if dated {
		composed = now.Add(-age)
	}
	switch frame {
	case frameNews:
		var m Message
		if cbor.Unmarshal(b, &m) == nil {
			m.date(composed, dated)
			g.take(now, m, true)
		}
	case frameDigest:
		var d Digest
		if cbor.Unmarshal(b, &d) == nil {
			d.From.date(composed, dated)
			g.takeDigest(now, &d)
		}
	case frameGreeting:
		var hello greeting
		if cbor.Unmarshal(b, &hello) == nil && hello.Seed.Address.IsValid() {
			g.mu.Lock()
			g.plant(now, hello.Name, hello.Seed)
			g.mu.Unlock()
		}
	case frameAsk:
		g.tellAll(now, from)
	case frameQuestion, frameAnswer:
		if len(b) > 0 {
			g.converse(now, from, frame, Topic(b[0]), b[1:])
		}
	}
}

// converse takes a question or an answer about a topic.
func (g *Gossiper) converse(now time.Time, from netip.AddrPort, frame byte, about Topic, b []byte) {
	t, ok := g.topics[about]
	if !ok {
		return
	}
	if frame == frameAnswer {
		t.hear(now, b)
		return
	}
	if a := t.answer(now, b); a != nil {
		g.sendBody(now, from, frameAnswer, append([]byte{byte(about)}, a...))
	}
}

// take notes a message unless a later one of the same VM has come. A VM that
// reports here is a peer; of a speaker's own message only the news count.
func (g *Gossiper) take(now time.Time, m Message, reports bool) {
	g.mu.Lock()
	p := g.peers[m.Name]
	stale := m.Name == g.name || (p != nil && p.outdates(now, m))
	answer := false
	if !stale && reports {
		// A process that has just started should not wait for its news.
		answer = p == nil || p.Incarnation != m.Incarnation
		g.roster.stale = g.roster.stale || p == nil || p.entry() != m.entry()
		g.peers[m.Name] = &Peer{Message: m, Heard: now}
	}
	large := g.large()
	g.mu.Unlock()
	if stale {
		return
	}
	switch {
	case answer && large:
		g.Hurry()
	case answer:
		self := g.write(now, Everyone)
		g.sendBody(now, m.Address, frameNews, encode(&self))
	}
	g.heard(now, m)
}

// takeDigest takes what a speaker tells.
func (g *Gossiper) takeDigest(now time.Time, d *Digest) {
	if d.From.Name == g.name {
		return
	}
	g.mu.Lock()
	s := g.sources[d.From.Name]
	if s == nil {
		s = &source{}
		g.sources[d.From.Name] = s
		g.roster.stale = true
	}
	wasContested := len(s.tallies) > 0
	if s.take(now, d) {
		g.roster.stale = true
	}
	news := len(s.tallies) > 0 && !wasContested
	ask := s.hash != d.Hash && now.Sub(s.asked) >= askEvery
	if ask {
		s.asked = now
	}
	g.mu.Unlock()
	if ask {
		g.send(d.From.Address, frameAsk, greeting{Name: g.name})
	}
	// A speaker of the own availability zone is as near as a VM that reports.
	g.take(now, d.From, d.From.AvailabilityZone == g.zone)
	if news {
		g.Hurry()
	}
}

// tellAll tells a VM all that it should know from this one.
func (g *Gossiper) tellAll(now time.Time, at netip.AddrPort) {
	m := g.write(now, Newcomer)
	g.mu.Lock()
	to := Speakers
	if g.audiences(now, true).alls[at] {
		to = Reporters
	}
	d := g.outline(now, to, m)
	told := g.told(to)
	d.Zones = told.names()
	sets := make([]Set, 0, len(d.Zones))
	for _, zone := range d.Zones {
		sets = append(sets, told.whole(zone))
	}
	g.mu.Unlock()
	for _, s := range sets {
		d.Sets = []Set{s}
		g.sendBody(now, at, frameDigest, encode(&d))
		d.From.Groups = nil
	}
}
