package gossiper

import (
	"slices"
	"time"
)

// fullStateInterval is the minimum time between two requests for the full state of a relay.
const fullStateInterval = time.Second

// relayState is the state received from a relay.
type relayState struct {
	// from is the relay's own message.
	from        Message
	reporting   bool
	heardAt     time.Time
	requestedAt time.Time
	zones       map[string]map[string]Entry
	hash        uint64
	votes       []VoteCount
	contested   []string
	// merged belongs to the roster.
	merged mergedEntries
}

// apply applies a digest and reports whether the entries changed.
func (s *relayState) apply(now time.Time, d *Digest) bool {
	if s.zones == nil || s.from.Incarnation != d.From.Incarnation || s.reporting != d.Direct {
		s.zones, s.hash, s.votes, s.contested = map[string]map[string]Entry{}, 0, nil, nil
	}
	s.contested = s.contestedAfter(d)
	s.from, s.reporting, s.heardAt, s.votes = d.From, d.Direct, now, d.Votes
	before := s.hash
	for _, set := range d.Updates {
		s.applyZone(set)
	}
	if len(d.Zones) > 0 {
		for zone := range s.zones {
			if !slices.Contains(d.Zones, zone) {
				s.applyZone(ZoneEntries{Zone: zone, Full: true})
			}
		}
	}
	return s.hash != before
}

// contestedAfter returns the contested groups after a digest. The votes that this VM got while it
// needed votes also tell of contested groups.
func (s *relayState) contestedAfter(d *Digest) []string {
	if !d.PartialContested {
		return d.Contested
	}
	groups := slices.Concat(s.contested, contestedGroups(s.votes), d.Contested)
	slices.Sort(groups)
	return slices.Compact(groups)
}

// applyZone applies the entries of one availability zone.
func (s *relayState) applyZone(set ZoneEntries) {
	entries := s.zones[set.Zone]
	if entries == nil {
		entries = map[string]Entry{}
		s.zones[set.Zone] = entries
	}
	if set.Full {
		for name := range entries {
			s.remove(set.Zone, entries, name)
		}
	}
	for _, name := range set.Removed {
		s.remove(set.Zone, entries, name)
	}
	for _, e := range set.Entries {
		s.remove(set.Zone, entries, e.Name)
		entries[e.Name] = e
		s.hash ^= e.hash(set.Zone)
	}
}

// remove removes a VM from an availability zone.
func (s *relayState) remove(zone string, entries map[string]Entry, name string) {
	if e, ok := entries[name]; ok {
		s.hash ^= e.hash(zone)
		delete(entries, name)
	}
}

// fresh reports whether the relay is not silent, as seen from an availability zone.
func (s *relayState) fresh(now time.Time, zone string) bool {
	if s.from.AvailabilityZone == zone {
		return now.Sub(s.heardAt) < silenceTimeout
	}
	return now.Sub(s.heardAt) < crossZoneSilenceTimeout
}

// isContested reports whether the relay knows of a primary that some VM cannot reach.
func (s *relayState) isContested() bool {
	return len(s.votes)+len(s.contested) > 0
}
