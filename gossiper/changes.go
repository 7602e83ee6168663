package gossiper

import (
	"maps"
	"slices"
	"time"
)

// tellFor is how long a change is told: until it has gone out lostMessages times
// to speakers of other availability zones.
const tellFor = farSilentAfter

// changes keeps what a speaker tells, and since when.
type changes struct {
	// direct is the VMs that report to this one, all what reporters are told.
	direct, all audience
}

// newChanges returns changes without VMs.
func newChanges() changes {
	return changes{direct: newAudience(), all: newAudience()}
}

// audience is what one kind of receivers is told.
type audience struct {
	zones map[string]map[string]told
	hash  uint64
}

// told is an entry that was told, with the time of its last change.
type told struct {
	entry   Entry
	hash    uint64
	changed time.Time
	gone    bool
}

// newAudience returns an audience that was told nothing.
func newAudience() audience {
	return audience{zones: map[string]map[string]told{}}
}

// update takes the VMs that are alive, by availability zone and name.
func (a *audience) update(now time.Time, alive map[string]map[string]Entry) {
	for zone, entries := range alive {
		have := a.zones[zone]
		if have == nil {
			have = map[string]told{}
			a.zones[zone] = have
		}
		for name, e := range entries {
			if t, ok := have[name]; ok && !t.gone && t.entry == e {
				continue
			}
			a.drop(have, name)
			h := e.hash(zone)
			a.hash ^= h
			have[name] = told{entry: e, hash: h, changed: now}
		}
	}
	for zone, have := range a.zones {
		for name, t := range have {
			switch _, ok := alive[zone][name]; {
			case ok:
			case !t.gone:
				a.drop(have, name)
				have[name] = told{entry: t.entry, changed: now, gone: true}
			case now.Sub(t.changed) > tellFor:
				delete(have, name)
			}
		}
		if len(have) == 0 {
			delete(a.zones, zone)
		}
	}
}

// drop takes an entry out of the hash.
func (a *audience) drop(have map[string]told, name string) {
	if t, ok := have[name]; ok && !t.gone {
		a.hash ^= t.hash
	}
}

// recent returns what changed of late.
func (a *audience) recent(now time.Time) []Set {
	var out []Set
	for zone, have := range a.zones {
		s := Set{Zone: zone}
		for name, t := range have {
			switch {
			case now.Sub(t.changed) > tellFor:
			case t.gone:
				s.Gone = append(s.Gone, name)
			default:
				s.Entries = append(s.Entries, t.entry)
			}
		}
		if len(s.Entries)+len(s.Gone) > 0 {
			out = append(out, s)
		}
	}
	return out
}

// whole returns all entries of one availability zone.
func (a *audience) whole(zone string) Set {
	s := Set{Zone: zone, Whole: true}
	for _, t := range a.zones[zone] {
		if !t.gone {
			s.Entries = append(s.Entries, t.entry)
		}
	}
	return s
}

// names returns the availability zones.
func (a *audience) names() []string {
	return slices.Sorted(maps.Keys(a.zones))
}
