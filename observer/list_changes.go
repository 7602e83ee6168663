package observer

import (
	"time"

	"github.com/marigoldgauge/marigoldgauge/timekeeper"
)

// SetListAsOf records the time as of which the list was the platform's before the next update: an
// instance that is leaving then may have announced it since that time.
func (o *Observer) SetListAsOf(asOf time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.listAsOf = asOf
}

// SetKnownAsOf records the times as of which instances of the next update were last listed before they
// were missing: one that is leaving when it is back may have announced it since that time.
func (o *Observer) SetKnownAsOf(knownAsOf map[string]time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.knownAsOf = knownAsOf
}

// lastKnown returns the time as of which an instance was last listed, given that of the list.
func (o *Observer) lastKnown(id string, listed time.Time) time.Time {
	if known, ok := o.knownAsOf[id]; ok {
		return timekeeper.Earlier(listed, known)
	}
	return listed
}

// UpdateInstances applies changes of the platform's list as of now: the instances that were
// added or changed, and the ids of those that were removed. It returns the instances that
// are new to the Observer, those that left, and those whose role or leaving state changed.
// An instance with another address, group or start time is another process: it leaves and is new.
func (o *Observer) UpdateInstances(now time.Time, update []Instance, removals []string) (added, removed, changed []Instance) {
	o.mu.Lock()
	defer o.mu.Unlock()
	before := now
	if !o.listAsOf.IsZero() {
		before = timekeeper.Earlier(now, o.listAsOf)
	}
	for _, i := range update {
		if group, ok := o.groupOf[i.ID]; ok && group != i.Group {
			removed = append(removed, o.removeInstance(now, group, i.ID)...)
		}
		g := o.group(i.Group)
		s := g.instances[i.ID]
		if s != nil && (s.Address != i.Address || !s.Started.Equal(i.Started)) {
			removed = append(removed, s.Instance)
			g.recordDeparture(now, o.lastKnown(i.ID, now), s)
			s = nil
		}
		isNew := s == nil
		switch {
		case isNew:
			base := o.distance(i.AvailabilityZone)
			s = &instanceState{base: base, latency: base, listedAt: now}
			if len(g.instances) == 0 {
				o.names = nil
			}
			if g.listedSince.IsZero() {
				g.listedSince = now
			}
			g.instances[i.ID], o.groupOf[i.ID] = s, i.Group
			added = append(added, i)
		case s.Leads != i.Leads || s.Leaving != i.Leaving:
			changed = append(changed, i)
		}
		if d, ok := g.departed[i.ID]; ok && d.Address == i.Address && d.Started.Equal(i.Started) {
			// The entry had lapsed: the end may have been announced before that, or meanwhile.
			s.leavingSince = timekeeper.Earlier(d.knownAsOf, before)
			if !d.leavingSince.IsZero() {
				s.leavingSince = d.leavingSince
			}
			delete(g.departed, i.ID)
		} else if isNew && g.listedSince.Equal(now) {
			// This process cannot know since when the instance has been leaving.
			s.leavingSince = now.Add(-o.leavingPeriod)
		}
		s.Instance = i
		s.updateLeavingSince(o.lastKnown(i.ID, before))
		o.notify(g)
	}
	for _, id := range removals {
		removed = append(removed, o.removeInstance(now, o.groupOf[id], id)...)
	}
	o.knownAsOf = nil
	return added, removed, changed
}

// removeInstance removes an instance from its group and returns it; none if it is not
// known. The caller holds the lock.
func (o *Observer) removeInstance(now time.Time, group, id string) []Instance {
	if _, ok := o.groupOf[id]; !ok {
		return nil
	}
	g := o.group(group)
	removed := g.instances[id].Instance
	g.recordDeparture(now, o.lastKnown(id, now), g.instances[id])
	delete(g.instances, id)
	delete(o.groupOf, id)
	if len(g.instances) == 0 {
		o.names = nil
	}
	o.notify(g)
	return []Instance{removed}
}
