package gossiper

import (
	"maps"
	"slices"
)

// tellTimes is how often a change is told; who missed all of them notices by the
// hash and asks for everything.
const tellTimes = lostMessages

// changes keeps what a speaker tells.
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

// told is an entry, and how often its last change is still to be told.
type told struct {
	entry Entry
	hash  uint64
	left  int
	gone  bool
}

// newAudience returns an audience that was told nothing.
func newAudience() audience {
	return audience{zones: map[string]map[string]told{}}
}

// update takes the VMs that are alive, by availability zone and name.
func (a *audience) update(alive map[string]map[string]Entry) {
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
			have[name] = told{entry: e, hash: h, left: tellTimes}
		}
	}
	for zone, have := range a.zones {
		for name, t := range have {
			switch _, ok := alive[zone][name]; {
			case ok:
			case !t.gone:
				a.drop(have, name)
				have[name] = told{entry: t.entry, left: tellTimes, gone: true}
			case t.left == 0:
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

// next returns the changes that are to be told now.
func (a *audience) next() []Set {
	var out []Set
	for zone, have := range a.zones {
		s := Set{Zone: zone}
		for name, t := range have {
			if t.left == 0 {
				continue
			}
			t.left--
			have[name] = t
			if t.gone {
				s.Gone = append(s.Gone, name)
			} else {
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
