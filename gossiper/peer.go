package gossiper

import "time"

// Peer is another VM as last heard.
type Peer struct {
	Message
	// Heard is when its last message came.
	Heard time.Time
}

// Staying returns the names of a VM and of those peers that do not leave.
func Staying(self string, peers []Peer) []string {
	return names(self, peers, func(p Peer) bool { return !p.Leaving })
}

// Reaching returns the names of a VM and of those peers that do not leave and
// reach the platform's store.
func Reaching(self string, peers []Peer) []string {
	return names(self, peers, func(p Peer) bool { return !p.Leaving && !p.StoreUnreachable })
}

// names returns the name of a VM and those of the peers that pass a test.
func names(self string, peers []Peer, passes func(p Peer) bool) []string {
	out := append(make([]string, 0, len(peers)+1), self)
	for _, p := range peers {
		if passes(p) {
			out = append(out, p.Name)
		}
	}
	return out
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
