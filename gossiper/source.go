package gossiper

import (
	"slices"
	"time"
)

// askEvery is the least time between two questions to a speaker for all that it knows.
const askEvery = time.Second

// source is what a speaker told.
type source struct {
	// from is the speaker's own message.
	from    Message
	direct  bool
	heard   time.Time
	asked   time.Time
	zones   map[string]map[string]Entry
	hash    uint64
	tallies []Tally
}

// take takes what a digest tells, and reports whether the VMs changed.
func (s *source) take(now time.Time, d *Digest) bool {
	if s.zones == nil || s.from.Incarnation != d.From.Incarnation || s.direct != d.Direct {
		s.zones, s.hash = map[string]map[string]Entry{}, 0
	}
	s.from, s.direct, s.heard, s.tallies = d.From, d.Direct, now, d.Tallies
	before := s.hash
	for _, set := range d.Sets {
		s.takeSet(set)
	}
	if len(d.Zones) > 0 {
		for zone := range s.zones {
			if !slices.Contains(d.Zones, zone) {
				s.takeSet(Set{Zone: zone, Whole: true})
			}
		}
	}
	return s.hash != before
}

// takeSet takes what is told of one availability zone.
func (s *source) takeSet(set Set) {
	have := s.zones[set.Zone]
	if have == nil {
		have = map[string]Entry{}
		s.zones[set.Zone] = have
	}
	if set.Whole {
		for name := range have {
			s.remove(set.Zone, have, name)
		}
	}
	for _, name := range set.Gone {
		s.remove(set.Zone, have, name)
	}
	for _, e := range set.Entries {
		s.remove(set.Zone, have, e.Name)
		have[e.Name] = e
		s.hash ^= e.hash(set.Zone)
	}
}

// remove takes a VM out.
func (s *source) remove(zone string, have map[string]Entry, name string) {
	if e, ok := have[name]; ok {
		s.hash ^= e.hash(zone)
		delete(have, name)
	}
}

// fresh reports whether the speaker was heard a moment ago by a VM of an availability zone.
func (s *source) fresh(now time.Time, zone string) bool {
	if s.from.AvailabilityZone == zone {
		return now.Sub(s.heard) < silentAfter
	}
	return now.Sub(s.heard) < farSilentAfter
}
