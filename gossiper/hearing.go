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
	g.send(to, frameQuestion, append([]byte{byte(t)}, question...))
}

// receive takes the messages of the others until ctx ends.
func (g *Gossiper) receive(ctx context.Context) error {
	b := make([]byte, maxMessage)
	for {
		n, from, err := g.transport.Receive(b)
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			continue
		}
		if n > 0 {
			g.dispatch(from, b[0], b[1:n])
		}
	}
}

// dispatch takes one datagram; one that is not understood is passed over.
func (g *Gossiper) dispatch(from netip.AddrPort, frame byte, b []byte) {
	switch frame {
	case frameNews:
		var m Message
		if cbor.Unmarshal(b, &m) == nil {
			g.take(m)
		}
	case frameQuestion, frameAnswer:
		if len(b) > 0 {
			g.converse(from, frame, Topic(b[0]), b[1:])
		}
	}
}

// converse takes a question or an answer about a topic.
func (g *Gossiper) converse(from netip.AddrPort, frame byte, about Topic, b []byte) {
	t, ok := g.topics[about]
	if !ok {
		return
	}
	if frame == frameAnswer {
		t.hear(g.clock.Now(), b)
		return
	}
	if a := t.answer(g.clock.Now(), b); a != nil {
		g.send(from, frameAnswer, append([]byte{byte(about)}, a...))
	}
}

// take notes a message unless a later one of the same VM has come.
func (g *Gossiper) take(m Message) {
	now := g.clock.Now()
	g.mu.Lock()
	p := g.peers[m.Name]
	stale := m.Name == g.self.Name || (p != nil && p.outdates(now, m))
	if !stale {
		// A process that has just started should not wait for its news.
		if p == nil || p.Incarnation != m.Incarnation {
			defer func() {
				large := g.IsLarge()
				g.spread(now, map[netip.AddrPort]bool{m.Address: true}, large && m.AvailabilityZone != g.zone)
			}()
		}
		g.peers[m.Name] = &Peer{Message: m, Heard: now}
	}
	g.mu.Unlock()
	if !stale {
		g.heard(now, m)
	}
}
