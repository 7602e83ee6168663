// Package publisher decides which states of database groups a VM includes in its
// messages to other VMs.
//
// A message costs each of its receivers, so it contains what has changed: a new
// primary is announced a few times, at intervals, and only in directions from which
// the VM has not learned of it. Positions of primaries go to VMs that use them. The
// number of entries of a message is bounded; the remaining ones follow in the next.
package publisher

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/marigoldgauge/marigoldgauge/gossiper"
)

const (
	// announcementPeriod is how long a new primary is announced. A VM that misses all
	// announcements learns of the primary by a status request.
	announcementPeriod = 5 * time.Second
	// announcementInterval is the minimum time between two announcements of the same
	// primary to the same receivers.
	announcementInterval = time.Second
	// maxAnnouncements bounds the announcements of a message, in entries of some 45 bytes.
	maxAnnouncements = 256
	// maxDiscoveries bounds those of primaries that are not new, which spare other VMs
	// status requests, and discoveryRepeats the number of their announcements by the VM that
	// discovered them. Relays forward them once: each receiver has two relays that do.
	maxDiscoveries   = 32
	discoveryRepeats = 2
	// maxFullState bounds the groups of which a VM that has just started gets the state. It
	// learns of the others by status requests.
	maxFullState = 256
	// positionInterval is the interval at which positions of primaries are sent to the
	// VMs of an availability zone: half of the staleness that usual routes allow.
	positionInterval = 700 * time.Millisecond
	// maxPositionAge is the age beyond which a position is of no use to other VMs.
	maxPositionAge = 2 * time.Second
	// maxPositions bounds the positions of a message, in entries of some 60 bytes.
	maxPositions = 64
)

// Publisher selects the states of groups for messages. It is safe for concurrent use.
type Publisher struct {
	mu     sync.Mutex
	sent   map[gossiper.Audience]map[string]*sent
	lastTo map[gossiper.Audience]time.Time
}

// sent is what was last sent of a group to an audience.
type sent struct {
	primary     string
	term        uint64
	announcedAt time.Time
	repeats     int
	// sampledAt is the time of the last position that was sent.
	sampledAt time.Time
}

// New returns a Publisher that has sent nothing.
func New() *Publisher {
	return &Publisher{sent: map[gossiper.Audience]map[string]*sent{}, lastTo: map[gossiper.Audience]time.Time{}}
}

// Select returns the states of groups for the next message to an audience.
func (p *Publisher) Select(now time.Time, to gossiper.Audience, groups []Group) []gossiper.GroupStatus {
	if to == gossiper.ToAll || to == gossiper.ToNewVM {
		return allStates(now, to, groups)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	var out, announcements []gossiper.GroupStatus
	var positions []Group
	known := p.sent[to]
	if known == nil {
		known = map[string]*sent{}
		p.sent[to] = known
	}
	sendsPositions := p.sendsPositions(now, to)
	due := p.dueAnnouncements(now, to, groups)
	for _, g := range groups {
		switch {
		case to != gossiper.ToReporters && g.isVote():
			out = append(out, g.Status)
		case !g.Known:
		case due[g.Status.Group]:
			announcements = append(announcements, g.Status)
		case sendsPositions && g.isNewPosition(now, known[g.Status.Group]):
			positions = append(positions, g)
		}
	}
	for _, s := range announcements {
		known[s.Group].announcedAt = now
		known[s.Group].repeats++
	}
	out = append(out, announcements...)
	// The positions that were sent longest ago come first.
	slices.SortStableFunc(positions, func(a, b Group) int {
		return known[a.Status.Group].sampledTime().Compare(known[b.Status.Group].sampledTime())
	})
	for _, g := range positions[:min(len(positions), maxPositions)] {
		s := known[g.Status.Group]
		if s == nil {
			s = &sent{}
			known[g.Status.Group] = s
		}
		s.sampledAt = g.SampledAt
		out = append(out, g.withPosition(now))
	}
	return out
}

// Votes returns the states of the groups whose primary this VM cannot reach, or can reach
// while another VM cannot.
func Votes(groups []Group) []gossiper.GroupStatus {
	out := []gossiper.GroupStatus{}
	for _, g := range groups {
		if g.isVote() {
			out = append(out, g.Status)
		}
	}
	return out
}

// allStates returns the states of all groups with a known primary. A VM that has just
// started also gets the positions of their primaries.
func allStates(now time.Time, to gossiper.Audience, groups []Group) []gossiper.GroupStatus {
	if to == gossiper.ToNewVM && len(groups) > maxFullState {
		groups = latest(groups)
	}
	var out []gossiper.GroupStatus
	for n := range groups {
		g := &groups[n]
		switch {
		case !g.Known:
		case to == gossiper.ToNewVM && g.Shared && g.hasPosition(now):
			out = append(out, g.withPosition(now))
		default:
			out = append(out, g.Status)
		}
	}
	return out
}

// latest returns the maxFullState groups with the latest primaries, which are those that
// other VMs have not known for long, the latest first.
func latest(groups []Group) []Group {
	order := make([]int32, len(groups))
	for n := range order {
		order[n] = int32(n)
	}
	// Sorting the numbers spares moving the groups, which are many times as large.
	slices.SortFunc(order, func(a, b int32) int {
		return cmp.Or(groups[b].PrimarySince.Compare(groups[a].PrimarySince), cmp.Compare(a, b))
	})
	out := make([]Group, maxFullState)
	for n := range out {
		out[n] = groups[order[n]]
	}
	return out
}

// sendsPositions reports whether a message includes positions. The caller holds the lock.
func (p *Publisher) sendsPositions(now time.Time, to gossiper.Audience) bool {
	switch to {
	case gossiper.ToOwnRelays:
		return true
	case gossiper.ToReporters:
		if now.Sub(p.lastTo[to]) < positionInterval {
			return false
		}
		p.lastTo[to] = now
		return true
	default:
		return false
	}
}

// dueAnnouncements returns the groups whose primary is announced in a message: at most
// maxAnnouncements, of which maxDiscoveries are not new, those announced longest ago
// first. The caller holds the lock.
func (p *Publisher) dueAnnouncements(now time.Time, to gossiper.Audience, groups []Group) map[string]bool {
	known := p.sent[to]
	var changes, discoveries []string
	for _, g := range groups {
		if !g.Known || now.Sub(g.PrimarySince) >= announcementPeriod || g.knownTo(to) {
			continue
		}
		name := g.Status.Group
		s := known[name]
		if s == nil {
			s = &sent{}
			known[name] = s
		}
		if s.primary != g.Status.Primary || s.term != g.Status.Term {
			s.primary, s.term, s.announcedAt, s.repeats = g.Status.Primary, g.Status.Term, time.Time{}, 0
		}
		switch {
		case now.Sub(s.announcedAt) < announcementInterval:
		case !g.Discovered:
			changes = append(changes, name)
		case s.repeats < g.discoveryRepeats(to):
			discoveries = append(discoveries, name)
		}
	}
	longestAgo := func(a, b string) int {
		return cmp.Or(known[a].announcedAt.Compare(known[b].announcedAt), cmp.Compare(a, b))
	}
	slices.SortFunc(changes, longestAgo)
	slices.SortFunc(discoveries, longestAgo)
	out := map[string]bool{}
	for _, name := range slices.Concat(changes[:min(len(changes), maxAnnouncements)], discoveries[:min(len(discoveries), maxDiscoveries)]) {
		out[name] = true
	}
	return out
}

// sampledTime returns the time of the last position that was sent.
func (s *sent) sampledTime() time.Time {
	if s == nil {
		return time.Time{}
	}
	return s.sampledAt
}
