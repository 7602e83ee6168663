package gossiper

import "time"

// Peer is the last received state of another VM.
type Peer struct {
	Message
	// Heard is the time at which its last message was received.
	Heard time.Time
}

// StayingNames returns the names of a VM and of the peers that are not leaving.
func StayingNames(self string, peers []Peer) []string {
	return names(self, peers, func(p Peer) bool { return !p.Leaving })
}

// StoreReachableNames returns the names of a VM and of the peers that are not leaving and can
// reach the platform's store.
func StoreReachableNames(self string, peers []Peer) []string {
	return names(self, peers, func(p Peer) bool { return !p.Leaving && !p.StoreUnreachable })
}

// names returns the name of a VM and those of the peers for which passes returns true.
func names(self string, peers []Peer, passes func(p Peer) bool) []string {
	out := append(make([]string, 0, len(peers)+1), self)
	for _, p := range peers {
		if passes(p) {
			out = append(out, p.Name)
		}
	}
	return out
}

// isNewerThan reports whether a message is older than the last one received.
//
// A process that started after the VM's wall clock was set back has a lower
// incarnation. Its messages are accepted once its predecessor counts as silent.
func (p *Peer) isNewerThan(now time.Time, m Message) bool {
	if m.Incarnation == p.Incarnation {
		return m.Sequence <= p.Sequence
	}
	return m.Incarnation < p.Incarnation && now.Sub(p.Heard) < maxLostMessages*interval
}
