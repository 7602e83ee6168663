package registrar

import (
	"slices"
	"sort"
	"time"
)

const (
	// minInterval and maxInterval bound the heartbeat interval of a VM.
	minInterval = 200 * time.Millisecond
	maxInterval = time.Second
	// intervalPerVM lengthens the heartbeat interval with the size of the cell, so
	// that the traffic to the coordinator stays within the control traffic budget.
	intervalPerVM = 16 * time.Millisecond
	// missedLimit is the number of missed heartbeats after which a VM is removed
	// from the roster.
	missedLimit = 5
	// suspectMissedLimit is the number of missed heartbeats after which a VM is removed
	// if another VM suspects it.
	suspectMissedLimit = 2
	// recordTTL is the time without a heartbeat after which the record of a VM is
	// deleted.
	recordTTL = time.Minute
	// maxRemovals is the number of removed members kept for computing differences
	// between roster versions.
	maxRemovals = 256
)

// HeartbeatInterval returns the heartbeat interval in a cell of n VMs.
func HeartbeatInterval(n int) time.Duration {
	return min(max(time.Duration(n)*intervalPerVM, minInterval), maxInterval)
}

// Coordinator decides which VMs are on the roster of a cell.
//
// A Coordinator is not safe for concurrent use.
type Coordinator struct {
	records     map[string]*memberRecord
	leaving     map[string]bool
	version     uint64
	lastMembers []Member
	// changedIn is the roster version in which each VM last joined, changed its address
	// or began to leave.
	changedIn map[string]uint64
	removals  []removal
}

// removal is a removed VM and the roster version that removed it.
type removal struct {
	id      string
	version uint64
}

// memberRecord is the coordinator's state of one VM.
type memberRecord struct {
	member      Member
	heardAt     time.Time
	suspectedAt time.Time
}

// NewCoordinator returns a Coordinator that starts from an inherited roster. The
// heartbeat timeout of each VM on it begins at now, so that each has time to send
// its first heartbeat.
func NewCoordinator(now time.Time, inherited Roster) *Coordinator {
	c := &Coordinator{records: map[string]*memberRecord{}, leaving: map[string]bool{}, version: inherited.Version, changedIn: map[string]uint64{}}
	for _, m := range inherited.Members {
		c.records[m.ID] = &memberRecord{member: m, heardAt: now}
	}
	c.lastMembers = c.members(now)
	return c
}

// RecordHeartbeat records a heartbeat received at now. A heartbeat from an earlier process of
// the VM is ignored.
func (c *Coordinator) RecordHeartbeat(now time.Time, m Member) {
	r := c.records[m.ID]
	if r == nil {
		r = &memberRecord{}
		c.records[m.ID] = r
	}
	if m.Incarnation < r.member.Incarnation {
		return
	}
	r.member = m
	r.heardAt = now
}

// Suspect records that some VM reports the VM id as unresponsive.
func (c *Coordinator) Suspect(now time.Time, id string) {
	if r := c.records[id]; r != nil {
		r.suspectedAt = now
	}
}

// SetLeaving sets the VMs that the platform's list marks as leaving.
func (c *Coordinator) SetLeaving(ids []string) {
	c.leaving = make(map[string]bool, len(ids))
	for _, id := range ids {
		c.leaving[id] = true
	}
}

// Roster returns the roster at now. Its version increases when a VM joins, is
// removed, changes its address or begins to leave, but not when only a
// configuration generation changes.
func (c *Coordinator) Roster(now time.Time) Roster {
	members := c.members(now)
	if !slices.EqualFunc(members, c.lastMembers, sameAssignment) {
		c.version++
		c.recordDifferences(members)
	}
	c.lastMembers = members
	return Roster{Version: c.version, Members: members}
}

// recordDifferences records which members the current version changed or removed.
func (c *Coordinator) recordDifferences(members []Member) {
	for _, m := range members {
		old, ok := Roster{Members: c.lastMembers}.Member(m.ID)
		if !ok || !sameAssignment(old, m) {
			c.changedIn[m.ID] = c.version
		}
	}
	for _, m := range c.lastMembers {
		if _, ok := (Roster{Members: members}).Member(m.ID); !ok {
			delete(c.changedIn, m.ID)
			c.removals = append(c.removals, removal{id: m.ID, version: c.version})
		}
	}
	if len(c.removals) > maxRemovals {
		c.removals = append([]removal(nil), c.removals[len(c.removals)-maxRemovals:]...)
	}
}

// Since returns the members that changed and the IDs of those removed since a
// roster version of this coordinator. ok is false if the version is unknown or too
// old.
func (c *Coordinator) Since(version uint64) (members []Member, gone []string, ok bool) {
	if version < c.oldestVersion() || version > c.version {
		return nil, nil, false
	}
	for _, m := range c.lastMembers {
		if c.changedIn[m.ID] > version {
			members = append(members, m)
		}
	}
	for _, d := range c.removals {
		if d.version > version {
			gone = append(gone, d.id)
		}
	}
	return members, gone, true
}

// oldestVersion returns the oldest version from which differences can be computed.
func (c *Coordinator) oldestVersion() uint64 {
	if len(c.removals) < maxRemovals {
		return 0
	}
	return c.removals[0].version
}

// members returns the live VMs in ascending order of ID.
func (c *Coordinator) members(now time.Time) []Member {
	var out []Member
	interval := HeartbeatInterval(len(c.records))
	for id, r := range c.records {
		if r.expired(now, interval) {
			if now.Sub(r.heardAt) > recordTTL {
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

// expired reports whether a VM has missed too many heartbeats to stay on the roster.
func (r *memberRecord) expired(now time.Time, interval time.Duration) bool {
	silent := now.Sub(r.heardAt)
	if silent > missedLimit*interval {
		return true
	}
	return silent > suspectMissedLimit*interval && r.suspectedAt.After(r.heardAt)
}

// sameAssignment reports whether two members are equal in everything that affects the
// assignment of work.
func sameAssignment(a, b Member) bool {
	return a.ID == b.ID && a.Address == b.Address && a.Leaving == b.Leaving &&
		a.Incarnation == b.Incarnation && slices.Equal(a.UnfitGroups, b.UnfitGroups)
}
