package gossiper

import (
	"maps"
	"slices"
)

// changeRepeats is the number of digests that repeat a change. A receiver that missed
// all of them notices a different hash and requests the full state.
const changeRepeats = maxLostMessages

// changes is what a relay sends in its digests.
type changes struct {
	// reporting holds the VMs that report to this one, for the other relays; all holds
	// all VMs, for the reporters.
	reporting, all outbox
}

// newChanges returns empty changes.
func newChanges() changes {
	return changes{reporting: newOutbox(), all: newOutbox()}
}

// outbox is the state of the entries sent to one kind of receivers.
type outbox struct {
	zones map[string]map[string]sentEntry
	hash  uint64
}

// sentEntry is an entry and the number of digests that are still to carry its last change.
type sentEntry struct {
	entry   Entry
	hash    uint64
	repeats int
	removed bool
}

// newOutbox returns an audience without entries.
func newOutbox() outbox {
	return outbox{zones: map[string]map[string]sentEntry{}}
}

// update applies the entries of the live VMs, by availability zone and name.
func (a *outbox) update(alive map[string]map[string]Entry) {
	for zone, entries := range alive {
		known := a.zones[zone]
		if known == nil {
			known = map[string]sentEntry{}
			a.zones[zone] = known
		}
		for name, e := range entries {
			if t, ok := known[name]; ok && !t.removed && t.entry == e {
				continue
			}
			a.unhash(known, name)
			h := e.hash(zone)
			a.hash ^= h
			known[name] = sentEntry{entry: e, hash: h, repeats: changeRepeats}
		}
	}
	for zone, known := range a.zones {
		for name, t := range known {
			switch _, ok := alive[zone][name]; {
			case ok:
			case !t.removed:
				a.unhash(known, name)
				known[name] = sentEntry{entry: t.entry, repeats: changeRepeats, removed: true}
			case t.repeats == 0:
				delete(known, name)
			}
		}
		if len(known) == 0 {
			delete(a.zones, zone)
		}
	}
}

// unhash removes an entry from the hash.
func (a *outbox) unhash(known map[string]sentEntry, name string) {
	if t, ok := known[name]; ok && !t.removed {
		a.hash ^= t.hash
	}
}

// nextChanges returns the changes for the next digest.
func (a *outbox) nextChanges() []ZoneEntries {
	var out []ZoneEntries
	for zone, known := range a.zones {
		s := ZoneEntries{Zone: zone}
		for name, t := range known {
			if t.repeats == 0 {
				continue
			}
			t.repeats--
			known[name] = t
			if t.removed {
				s.Removed = append(s.Removed, name)
			} else {
				s.Entries = append(s.Entries, t.entry)
			}
		}
		if len(s.Entries)+len(s.Removed) > 0 {
			out = append(out, s)
		}
	}
	return out
}

// zoneState returns all entries of one availability zone.
func (a *outbox) zoneState(zone string) ZoneEntries {
	s := ZoneEntries{Zone: zone, Full: true}
	for _, t := range a.zones[zone] {
		if !t.removed {
			s.Entries = append(s.Entries, t.entry)
		}
	}
	return s
}

// zoneNames returns the names of the availability zones in ascending order.
func (a *outbox) zoneNames() []string {
	return slices.Sorted(maps.Keys(a.zones))
}
