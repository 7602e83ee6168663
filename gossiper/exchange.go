package gossiper

import (
	"net/netip"
	"sync"
	"time"
)

// exchange is what this VM and another one know of each other's profiles.
type exchange struct {
	// process is the process that sent profile, in a message with a sequence number. id is
	// the ID of the profile.
	process  uint64
	sequence uint64
	id       uint32
	profile  profile
	// acknowledged is the ID of this VM's profile that the other one knows, as of heardAt.
	acknowledged uint32
	heardAt      time.Time
}

// exchanges holds the exchanges with the other VMs, by the address of their messages. It
// is safe for concurrent use.
type exchanges struct {
	mu sync.Mutex
	by map[netip.AddrPort]*exchange
	// own is the profile of this VM and id its ID: a number that identifies the process too.
	own profile
	id  uint32
}

// newExchanges returns empty exchanges of a process that numbers its profiles from first on.
func newExchanges(first uint32) *exchanges {
	return &exchanges{by: map[netip.AddrPort]*exchange{}, id: first}
}

// ownID returns the ID of this VM's profile, a new one if the profile has changed.
func (x *exchanges) ownID(p profile) uint32 {
	x.mu.Lock()
	defer x.mu.Unlock()
	if p != x.own {
		x.own = p
		x.id = max(x.id+1, 1)
	}
	return x.id
}

// hear records that a VM knows a profile of this VM, zero for none: its process does not
// read compact messages or has just started.
func (x *exchanges) hear(now time.Time, from netip.AddrPort, known uint32) {
	x.mu.Lock()
	defer x.mu.Unlock()
	e := x.by[from]
	if e == nil {
		e = &exchange{}
		x.by[from] = e
	}
	e.acknowledged, e.heardAt = known, now
}

// learn records the profile of a message of a process. A message that was overtaken by a
// later one of the same process is ignored.
func (x *exchanges) learn(from netip.AddrPort, process uint64, id uint32, m *Message) {
	x.mu.Lock()
	defer x.mu.Unlock()
	e := x.by[from]
	if id == 0 || e == nil || (e.process == process && m.Sequence < e.sequence) {
		return
	}
	e.process, e.sequence, e.id, e.profile = process, m.Sequence, id, m.profile()
}

// known returns the ID of the profile that is known of a VM, zero for none.
func (x *exchanges) known(of netip.AddrPort) uint32 {
	x.mu.Lock()
	defer x.mu.Unlock()
	if e := x.by[of]; e != nil {
		return e.id
	}
	return 0
}

// profile returns the profile with an ID and the process that sent it.
func (x *exchanges) profile(from netip.AddrPort, id uint32) (process uint64, p profile, ok bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	e := x.by[from]
	if e == nil || id == 0 || e.id != id {
		return 0, profile{}, false
	}
	return e.process, e.profile, true
}

// acknowledges reports whether a VM that is not silent knows a profile of this VM.
func (x *exchanges) acknowledges(now time.Time, to netip.AddrPort, id uint32) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	e := x.by[to]
	return e != nil && id != 0 && e.acknowledged == id && now.Sub(e.heardAt) < crossZoneSilenceTimeout
}

// deleteSilent deletes the exchanges with VMs from which nothing was received for
// forgetTimeout.
func (x *exchanges) deleteSilent(now time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for from, e := range x.by {
		if now.Sub(e.heardAt) > forgetTimeout {
			delete(x.by, from)
		}
	}
}
