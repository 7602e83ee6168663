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
	// own and sources are what the outboxes were last updated from: the VMs that report to
	// this one and the fresh relays, by name. Outboxes are updated for the availability
	// zones for which one of them has changed.
	own     map[string]Entry
	sources map[string]source
}

// source identifies the entries of a relay by their hash, with their availability zones.
type source struct {
	hash  uint64
	zones []string
}

// newChanges returns empty changes.
func newChanges() changes {
	return changes{reporting: newOutbox(), all: newOutbox()}
}

// outbox is the state of the entries sent to one kind of receivers.
type outbox struct {
	zones map[string]map[string]sentEntry
	hash  uint64
	// pending holds the entries whose last change is still to be sent.
	pending map[entryKey]bool
}

// entryKey names an entry in an outbox.
type entryKey struct{ zone, name string }

// sentEntry is an entry and the number of digests that are still to carry its last change.
type sentEntry struct {
	entry   Entry
	hash    uint64
	repeats int
	removed bool
}

// newOutbox returns an audience without entries.
func newOutbox() outbox {
	return outbox{zones: map[string]map[string]sentEntry{}, pending: map[entryKey]bool{}}
}

// updateZone applies the entries of the live VMs of an availability zone, by name.
func (a *outbox) updateZone(zone string, alive map[string]Entry) {
	known := a.zones[zone]
	if known == nil {
		known = map[string]sentEntry{}
		a.zones[zone] = known
	}
	for name, e := range alive {
		if t, ok := known[name]; ok && !t.removed && t.entry == e {
			continue
		}
		a.unhash(known, name)
		h := e.hash(zone)
		a.hash ^= h
		known[name] = sentEntry{entry: e, hash: h, repeats: changeRepeats}
		a.pending[entryKey{zone, name}] = true
	}
	for name, t := range known {
		if _, ok := alive[name]; !ok && !t.removed {
			a.unhash(known, name)
			known[name] = sentEntry{entry: t.entry, repeats: changeRepeats, removed: true}
			a.pending[entryKey{zone, name}] = true
		}
	}
	if len(known) == 0 {
		delete(a.zones, zone)
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
	sets := map[string]*ZoneEntries{}
	for key := range a.pending {
		s := sets[key.zone]
		if s == nil {
			s = &ZoneEntries{Zone: key.zone}
			sets[key.zone] = s
		}
		known := a.zones[key.zone]
		t := known[key.name]
		t.repeats--
		known[key.name] = t
		if t.removed {
			s.Removed = append(s.Removed, key.name)
		} else {
			s.Entries = append(s.Entries, t.entry)
		}
		if t.repeats == 0 {
			a.settle(key, t)
		}
	}
	out := make([]ZoneEntries, 0, len(sets))
	for _, s := range sets {
		out = append(out, *s)
	}
	return out
}

// settle records that the last change of an entry was sent.
func (a *outbox) settle(key entryKey, t sentEntry) {
	delete(a.pending, key)
	if t.removed {
		delete(a.zones[key.zone], key.name)
	}
	if len(a.zones[key.zone]) == 0 {
		delete(a.zones, key.zone)
	}
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
