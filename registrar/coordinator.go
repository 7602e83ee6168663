package registrar

import (
	"slices"
	"sort"
	"time"
)

const (
	// shortestInterval and longestInterval bound the time between two heartbeats of a VM.
	shortestInterval = 200 * time.Millisecond
	longestInterval  = time.Second
	// intervalPerVM makes the heartbeats of a large cell rarer, so that what its
	// coordinator receives stays within the budget of control.
	intervalPerVM = 16 * time.Millisecond
	// deadIntervals is the number of heartbeats after whose loss a VM is taken off the roster.
	deadIntervals = 5
	// suspectIntervals is the number after whose loss one suspicion takes it off.
	suspectIntervals = 2
	// forgetAfter is the silence after which nothing is kept of a VM.
	forgetAfter = time.Minute
	// keptDepartures is the number of departures from which differences can be told.
	keptDepartures = 256
)

// Interval returns the time between two heartbeats in a cell of n VMs.
func Interval(n int) time.Duration {
	return min(max(time.Duration(n)*intervalPerVM, shortestInterval), longestInterval)
}

// Coordinator decides who is on the roster of a cell.
//
// A Coordinator is not safe for concurrent use.
type Coordinator struct {
	records map[string]*record
	leaving map[string]bool
	version uint64
	last    []Member
	// changed is the version in which each VM last came, moved or began to leave.
	changed    map[string]uint64
	departures []departure
}

// departure is a VM that went, and the version in which it did.
type departure struct {
	id      string
	version uint64
}

// record is what the coordinator knows of one VM.
type record struct {
	member    Member
	heard     time.Time
	suspected time.Time
}

// NewCoordinator returns a Coordinator that inherits a roster at now: each VM
// on it gets time to send its first heartbeat.
func NewCoordinator(now time.Time, inherited Roster) *Coordinator {
	c := &Coordinator{records: map[string]*record{}, leaving: map[string]bool{}, version: inherited.Version, changed: map[string]uint64{}}
	for _, m := range inherited.Members {
		c.records[m.ID] = &record{member: m, heard: now}
	}
	c.last = c.members(now)
	return c
}

// Beat takes a heartbeat at now. One of an earlier process of the VM is dropped.
func (c *Coordinator) Beat(now time.Time, m Member) {
	r := c.records[m.ID]
	if r == nil {
		r = &record{}
		c.records[m.ID] = r
	}
	if m.Incarnation < r.member.Incarnation {
		return
	}
	r.member = m
	r.heard = now
}

// Suspect takes the word of a VM that another one does not answer.
func (c *Coordinator) Suspect(now time.Time, id string) {
	if r := c.records[id]; r != nil {
		r.suspected = now
	}
}

// SetLeaving takes the VMs that the platform's list names as leaving.
func (c *Coordinator) SetLeaving(ids []string) {
	c.leaving = make(map[string]bool, len(ids))
	for _, id := range ids {
		c.leaving[id] = true
	}
}

// Roster returns the roster at now. Its version grows when a VM came, went,
// moved or began to leave, and not with generations.
func (c *Coordinator) Roster(now time.Time) Roster {
	members := c.members(now)
	if !slices.EqualFunc(members, c.last, sameDuties) {
		c.version++
		c.note(members)
	}
	c.last = members
	return Roster{Version: c.version, Members: members}
}

// note remembers what changed in the present version.
func (c *Coordinator) note(members []Member) {
	for _, m := range members {
		old, ok := Roster{Members: c.last}.Member(m.ID)
		if !ok || !sameDuties(old, m) {
			c.changed[m.ID] = c.version
		}
	}
	for _, m := range c.last {
		if _, ok := (Roster{Members: members}).Member(m.ID); !ok {
			delete(c.changed, m.ID)
			c.departures = append(c.departures, departure{id: m.ID, version: c.version})
		}
	}
	if len(c.departures) > keptDepartures {
		c.departures = append([]departure(nil), c.departures[len(c.departures)-keptDepartures:]...)
	}
}

// Since returns what changed after a version of this coordinator's; ok is
// false when that cannot be told any more.
func (c *Coordinator) Since(version uint64) (members []Member, gone []string, ok bool) {
	if version < c.first() || version > c.version {
		return nil, nil, false
	}
	for _, m := range c.last {
		if c.changed[m.ID] > version {
			members = append(members, m)
		}
	}
	for _, d := range c.departures {
		if d.version > version {
			gone = append(gone, d.id)
		}
	}
	return members, gone, true
}

// first returns the version from which differences can be told.
func (c *Coordinator) first() uint64 {
	if len(c.departures) < keptDepartures {
		return 0
	}
	return c.departures[0].version
}

// members lists the live VMs.
func (c *Coordinator) members(now time.Time) []Member {
	var out []Member
	interval := Interval(len(c.records))
	for id, r := range c.records {
		if r.dead(now, interval) {
			if now.Sub(r.heard) > forgetAfter {
				delete(c.records, id)
			}
			continue
		}
		m := r.member
		m.Leaving = m.Leaving || c.leaving[id]
		out = append(out, m)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// dead reports whether a VM is off the roster.
func (r *record) dead(now time.Time, interval time.Duration) bool {
	silent := now.Sub(r.heard)
	if silent > deadIntervals*interval {
		return true
	}
	return silent > suspectIntervals*interval && r.suspected.After(r.heard)
}

// sameDuties reports whether two entries lead to the same duties.
func sameDuties(a, b Member) bool {
	return a.ID == b.ID && a.Address == b.Address && a.Leaving == b.Leaving &&
		a.Incarnation == b.Incarnation && slices.Equal(a.UnfitGroups, b.UnfitGroups)
}
