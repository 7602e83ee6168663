package gossiper

import "time"

// Peer is another VM as last heard.
type Peer struct {
	Message
	// Heard is when its last message came.
	Heard time.Time
}

// outdates reports whether a message is older than the last one heard.
//
// A process that started after its VM's time of day was set back has a lower
// incarnation; it is believed once its predecessor has been silent.
func (p *Peer) outdates(now time.Time, m Message) bool {
	if m.Incarnation == p.Incarnation {
		return m.Sequence <= p.Sequence
	}
	return m.Incarnation < p.Incarnation && now.Sub(p.Heard) < lostMessages*interval
}
