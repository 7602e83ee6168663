package registrar

import (
	"slices"
	"sort"
	"time"
)

const (
	// deadAfter is the silence after which a VM is taken off the roster.
	deadAfter = time.Second
	// suspectAfter is the silence after which one suspicion takes a VM off the roster.
	suspectAfter = 400 * time.Millisecond
)

// Coordinator decides who is on the roster of a cell.
//
// A Coordinator is not safe for concurrent use.
type Coordinator struct {
	records map[string]*record
	leaving map[string]bool
	version uint64
	last    []Member
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
	c := &Coordinator{records: map[string]*record{}, leaving: map[string]bool{}, version: inherited.Version}
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
	}
	c.last = members
	return Roster{Version: c.version, Members: members}
}

// members lists the live VMs.
func (c *Coordinator) members(now time.Time) []Member {
	var out []Member
	for id, r := range c.records {
		if r.dead(now) {
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
func (r *record) dead(now time.Time) bool {
	silent := now.Sub(r.heard)
	if silent > deadAfter {
		return true
	}
	return silent > suspectAfter && r.suspected.After(r.heard)
}

// sameDuties reports whether two entries lead to the same duties.
func sameDuties(a, b Member) bool {
	return a.ID == b.ID && a.Address == b.Address && a.Leaving == b.Leaving &&
		a.Incarnation == b.Incarnation && slices.Equal(a.UnfitGroups, b.UnfitGroups)
}
